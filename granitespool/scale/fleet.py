"""The generated fleet of backends, and the configuration of its coordinators."""

from random import Random
from typing import Any

import msgspec

from granitespool.scale.schema import Scenario
from granitespool.scale.trace import Effect, Limits, Phase
from granitespool.units import SECOND

US_PER_S = 1_000_000
BACKEND_PORT = 8081
COORDINATOR_PORT = 7400
DISCOVERY_PORT = 7500
HOSTS_PER_BLOCK = 250  # addresses used of each block of 256
# Third byte of the loopback addresses of coordinators, of discovery agents and of backends
COORDINATOR_BLOCK = 0
AGENT_BLOCK = 4
BACKEND_BLOCK = 8
EFFECTS: tuple[Effect, ...] = ("single_shot", "guarded", "free")  # assigned to the request classes in turn


class ListedBackend(msgspec.Struct, kw_only=True):
    """An endpoint list entry with the protocol's field names; `since_ms` is Unix time."""

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: Phase = "ready"
    weight: float = 1.0
    since_ms: int = 0


class Network(msgspec.Struct, frozen=True):
    """The loopback addresses of one run, in a separate network: `127.NUMBER.x.y`."""

    number: int

    def coordinator(self, index: int) -> tuple[str, int]:
        """Return the listen address of a real coordinator."""
        return self._address(COORDINATOR_BLOCK, index), COORDINATOR_PORT

    def agent(self, index: int) -> tuple[str, int]:
        """Return the listen address of a discovery agent, of a coordinator or of a hollow process."""
        return self._address(AGENT_BLOCK, index), DISCOVERY_PORT

    def backend(self, index: int) -> tuple[str, int]:
        """Return the listen address of a backend."""
        return self._address(BACKEND_BLOCK, index), BACKEND_PORT

    def _address(self, block: int, index: int) -> str:
        return f"127.{self.number}.{block + index // HOSTS_PER_BLOCK}.{index % HOSTS_PER_BLOCK + 1}"


class GeneratedFleet:
    """The backends of a scenario: services of uneven size, spread over all zones and racks."""

    def __init__(self, scenario: Scenario, network: Network, random: Random) -> None:
        """Create the backends; `random` draws the size of each service."""
        self.scenario = scenario
        self.network = network
        self.zones = scenario.zones
        self.backend_count = 0  # backends created so far
        self.backends = [
            self.add_backend(service, place) for place, service in enumerate(self._draw_services(random))
        ]

    def _draw_services(self, random: Random) -> list[int]:
        """Return the service of each backend; the k-th service has a share of about 1/k."""
        fleet = self.scenario.fleet
        shares = [1 / (service + 1) for service in range(fleet.services)]
        first = list(range(min(fleet.services, fleet.backends)))  # every service has a backend
        rest = random.choices(range(fleet.services), shares, k=fleet.backends - len(first))
        return first + sorted(rest)

    def add_backend(self, service: int, place: int) -> ListedBackend:
        """Create a further backend; `place` determines its zone and its rack."""
        host, port = self.network.backend(self.backend_count)
        zone = place % len(self.zones)
        rack = place // len(self.zones) // self.scenario.fleet.rack_backends
        backend = ListedBackend(
            name=f"s{service:02}-{self.backend_count:05}",
            address=f"{host}:{port}",
            zone=self.zones[zone],
            type=f"service{service:02}",
            group=rack * len(self.zones) + zone,
        )
        self.backend_count += 1
        return backend

    def replacement_for(self, former: ListedBackend) -> ListedBackend:
        """Create a further backend in the zone and rack of an earlier one."""
        host, port = self.network.backend(self.backend_count)
        service = former.name.partition("-")[0]
        backend = msgspec.structs.replace(
            former, name=f"{service}-{self.backend_count:05}", address=f"{host}:{port}", status="ready"
        )
        self.backend_count += 1
        return backend


def expected_proxies(scenario: Scenario) -> int:
    """Return the proxies of all coordinators: the number in version 0 of the settings."""
    coordinators = scenario.coordinators.real + scenario.coordinators.hollow
    return coordinators * scenario.proxies.per_coordinator


def settings(scenario: Scenario, zone: str, index: int, version: int) -> dict[str, Any]:
    """Return the settings of one coordinator with the field names of the wire.

    The version shows in the number of proxies, so that a client can find out which version is active: a
    coordinator rejects a joining proxy with a higher number. It also changes the priority weight of a class,
    which takes effect on the coordinator's decisions.
    """
    rules = scenario.rules
    return {
        "balancers": scenario.coordinators.real + scenario.coordinators.hollow,
        "index": index,
        "zone": zone,
        "zones": scenario.zones,
        "membership_mode": "automatic",
        "classes": [_class_settings(number, version) for number in range(scenario.traffic.classes)],
        "family_info": _family_info(scenario, version),
        "permissions": {"probes": True, "peers": False, "connect_timeout_us": 250_000},
        "rules": {
            "stop_sending_within_us": int(rules.drain_grace_s * US_PER_S),
            "cold_us": int(rules.cold_s * US_PER_S),
            "cold_from": rules.cold_share,
            "fall_multiple": rules.fall_multiple,
            "fall_us": int(rules.fall_s * US_PER_S),
        },
    }


def _class_settings(number: int, version: int) -> dict[str, Any]:
    weight_offset = version % 10 / 100 if number == 0 else 0
    return {
        "name": f"class{number}",
        "semantics": EFFECTS[number % len(EFFECTS)],
        "aim_us": 300_000,
        "give_up_us": 900_000,
        "worth": 1.0 + number % 3 + weight_offset,
    }


def _family_info(scenario: Scenario, version: int) -> dict[str, Any]:
    channel = scenario.channel
    return {
        "admit": "fraction",
        "egress_per_s": channel.lines_per_s,
        "most_waiting": channel.backlog_lines,
        "envelope": channel.head_lines,
        "messages_most": channel.messages,
        "counted_over_us": int(channel.messages_span_s * US_PER_S),
        "report_every_us": US_PER_S,
        "proxy_count": expected_proxies(scenario) + version,
        "bootstrap": scenario.proxies.first_table_lines,
        "default_retry": 0,
        "empty_for_us": int(scenario.rules.empty_limit_s * US_PER_S),
    }


def limits(scenario: Scenario) -> Limits:
    """Return the limits of the rules, for the checker."""
    rules, channel = scenario.rules, scenario.channel
    return Limits(
        drain_grace=int(rules.drain_grace_s * SECOND),
        empty_limit=int(rules.empty_limit_s * SECOND),
        overload_multiple=rules.fall_multiple,
        overload_time=int(rules.fall_s * SECOND),
        backlog_limit=channel.backlog_lines,
        messages_limit=channel.messages,
        messages_span=int(channel.messages_span_s * SECOND),
        warm_up_time=int(rules.cold_s * SECOND),
    )
