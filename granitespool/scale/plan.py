"""The events of a scenario and their times, drawn from the seed before anything is started."""

import hashlib
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Literal

import msgspec

from granitespool.scale.fleet import GeneratedFleet, ListedBackend
from granitespool.scale.schema import Event, Scenario
from granitespool.scale.trace import Phase
from granitespool.units import SECOND

Action = Literal[
    "drain",  # discovery reports backends as draining
    "remove",  # backends stop, and discovery reports their removal
    "crash",  # backends stop, and discovery reports nothing
    "add",  # backends start, need to warm up, and discovery reports them
    "configure",  # a new configuration for every coordinator that can be reached
    "configure_badly",  # an invalid configuration for each of these coordinators
    "kill",  # coordinators are killed
    "terminate",  # coordinators receive SIGTERM
    "start",  # coordinators are started again
    "collectors_down",
    "collectors_up",
    "cut",  # regions are cut off from each other and from discovery
    "heal",
    "stall",  # discovery stops in the middle of its next line
    "duplicate",  # a change of the endpoint list is sent twice
    "reorder",  # two changes of one backend are sent, the later one first
    "end_watches",
    "kill_hollow",
]
STALL_LEAD = SECOND // 20  # ns from a stall to the change whose line is interrupted
PARTITION_CHANGE = 0.4  # share of a cut's duration after which the list and the configuration change
PARTITION_DRAINS = 4  # backends that drain during a cut
RENAMED_SHARE = 1 / 2  # share of the replaced backends that return under another name
DIGEST_LENGTH = 16  # hexadecimal digits


class PlannedEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One event of the plan; the digest covers the names of its fields."""

    at: int  # ns after the start of the events
    action: Action
    entries: tuple[ListedBackend, ...] = ()
    names: tuple[str, ...] = ()  # coordinators, zones or regions
    lasting: int = 0  # ns


def plan_digest(plan: Iterable[PlannedEvent]) -> str:
    """Return a digest of the planned events that does not depend on the run's addresses."""
    without_addresses = [
        msgspec.structs.replace(
            planned,
            entries=tuple(msgspec.structs.replace(entry, address="") for entry in planned.entries),
        )
        for planned in plan
    ]
    return hashlib.sha256(msgspec.json.encode(without_addresses)).hexdigest()[:DIGEST_LENGTH]


def coordinator_zones(scenario: Scenario) -> list[str]:
    """Return the zone of each real coordinator; the regions take turns."""
    regions, zones = scenario.fleet.regions, scenario.fleet.zones_per_region
    return [
        scenario.zones[(index % regions) * zones + index // regions % zones]
        for index in range(scenario.coordinators.real)
    ]


def coordinator_name(index: int) -> str:
    """Return the name of a real coordinator."""
    return f"c{index:03}"


class Plan:
    """The events of a scenario; `planned` has them in order of time."""

    def __init__(self, scenario: Scenario, fleet: GeneratedFleet, random: Random) -> None:
        """Draw the events from `random`; the order of the calls determines the plan."""
        self.scenario = scenario
        self.fleet = fleet
        self.random = random
        self.unused_backends = list(fleet.backends)  # backends that no event affects yet
        random.shuffle(self.unused_backends)
        self.events: list[PlannedEvent] = []
        planners = self._planners()
        for _, event in sorted(scenario.events.items()):
            planners[event.kind](event)
        self.planned = sorted(self.events, key=lambda planned: planned.at)

    def _planners(self) -> dict[str, Callable[[Event], None]]:
        """Return the method that plans the events of each kind."""
        return {
            "replace": self._replace,
            "fail": self._fail,
            "configure": self._configure,
            "rack": self._rack,
            "zone": self._zone,
            "partition": self._partition,
            "restart": self._restart,
            "stall": self._stall,
            "duplicate": self._duplicate,
            "reorder": self._reorder,
            "end_watches": self._end_watches,
            "kill_hollow": self._kill_hollow,
        }

    @property
    def end(self) -> int:
        """Time of the last event, in ns."""
        return self.planned[-1].at if self.planned else 0

    def _add(
        self,
        at: float,
        action: Action,
        entries: Iterable[ListedBackend] = (),
        names: Iterable[str] = (),
        lasting: float = 0.0,
    ) -> None:
        self.events.append(
            PlannedEvent(
                at=int(at * SECOND),
                action=action,
                entries=tuple(entries),
                names=tuple(names),
                lasting=int(lasting * SECOND),
            )
        )

    def _take_backends(self, count: int) -> list[ListedBackend]:
        taken = self.unused_backends[:count]
        self.unused_backends = self.unused_backends[count:]
        return taken

    def _times(self, event: Event) -> list[float]:
        """Return the time (s) of each repetition of an event."""
        return [event.at_s + event.for_s * number / event.count for number in range(event.count)]

    def _replace(self, event: Event) -> None:
        for at, backend in zip(self._times(event), self._take_backends(event.count), strict=False):
            self._drain_and_remove(at, [backend], event.drain_s)
            renamed = self.random.random() >= RENAMED_SHARE
            successor = self.fleet.replacement_for(backend) if renamed else backend
            self._add(at + event.drain_s + event.back_s, "add", [_with_status(successor, "ready")])

    def _drain_and_remove(self, at: float, backends: Sequence[ListedBackend], drain_s: float) -> None:
        self._add(at, "drain", [_with_status(backend, "draining") for backend in backends])
        self._add(at + drain_s, "remove", [_with_status(backend, "gone") for backend in backends])

    def _fail(self, event: Event) -> None:
        for at, backend in zip(self._times(event), self._take_backends(event.count), strict=False):
            self._fail_and_restore(event, at, [backend], event.back_s)

    def _fail_and_restore(
        self, event: Event, at: float, backends: Sequence[ListedBackend], back_s: float
    ) -> None:
        """Plan a crash of backends, its detection by discovery, and their restart, with warm-up."""
        self._add(at, "crash", [_with_status(backend, "gone") for backend in backends])
        noticed = at + event.noticed_s
        self._add(noticed, "remove", [_with_status(backend, "gone") for backend in backends])
        self._add(noticed + back_s, "add", [_with_status(backend, "ready") for backend in backends])

    def _configure(self, event: Event) -> None:
        invalid_numbers = set(self.random.sample(range(event.count), min(event.refused, event.count)))
        for number, at in enumerate(self._times(event)):
            self._add(at, "configure_badly" if number in invalid_numbers else "configure")

    def _rack(self, event: Event) -> None:
        groups = sorted({backend.group for backend in self.unused_backends})
        for group in self.random.sample(groups, min(event.count, len(groups))):
            rack = [backend for backend in self.unused_backends if backend.group == group]
            self.unused_backends = [backend for backend in self.unused_backends if backend.group != group]
            self._fail_and_restore(event, event.at_s, rack, event.for_s)

    def _zone(self, event: Event) -> None:
        zones = coordinator_zones(self.scenario)
        coordinator_zone_names = sorted(set(zones))
        for zone in self.random.sample(coordinator_zone_names, min(event.count, len(coordinator_zone_names))):
            inside = [backend for backend in self.unused_backends if backend.zone == zone]
            self.unused_backends = [backend for backend in self.unused_backends if backend.zone != zone]
            names = [coordinator_name(index) for index, name in enumerate(zones) if name == zone]
            self._add(event.at_s, "kill", names=names)
            self._add(event.at_s, "collectors_down", names=[zone])
            self._fail_and_restore(event, event.at_s, inside, event.for_s)
            back_at = event.at_s + event.noticed_s + event.for_s
            self._add(back_at, "collectors_up", names=[zone])
            self._add(back_at, "start", names=names)

    def _partition(self, event: Event) -> None:
        regions = sorted({zone.partition("-")[0] for zone in coordinator_zones(self.scenario)})
        cut = self.random.sample(regions, min(event.count, len(regions)))
        self._add(event.at_s, "cut", names=cut)
        change = event.at_s + PARTITION_CHANGE * event.for_s
        drained = self._take_backends(PARTITION_DRAINS)
        self._add(change, "drain", [_with_status(backend, "draining") for backend in drained])
        self._add(change, "configure")
        self._add(event.at_s + event.for_s, "heal", names=cut)
        after = event.at_s + event.for_s + event.drain_s
        self._add(after, "remove", [_with_status(backend, "gone") for backend in drained])

    def _restart(self, event: Event) -> None:
        indexes = range(event.first, self.scenario.coordinators.real)
        for at, index in zip(self._times(event), indexes, strict=False):
            name = coordinator_name(index)
            self._add(at, event.signal, names=[name])
            self._add(at + event.back_s, "start", names=[name])

    def _stall(self, event: Event) -> None:
        self._add(event.at_s, "stall", lasting=event.for_s)
        lead = STALL_LEAD / SECOND
        self._drain_and_remove(event.at_s + lead, self._take_backends(event.count), event.drain_s)

    def _duplicate(self, event: Event) -> None:
        for at, backend in zip(self._times(event), self._take_backends(event.count), strict=False):
            self._add(at, "duplicate", [_with_status(backend, "draining")])
            self._add(at + event.drain_s, "remove", [_with_status(backend, "gone")])

    def _reorder(self, event: Event) -> None:
        for at, backend in zip(self._times(event), self._take_backends(event.count), strict=False):
            self._add(at, "reorder", [_with_status(backend, "draining"), _with_status(backend, "gone")])

    def _end_watches(self, event: Event) -> None:
        for at in self._times(event):
            self._add(at, "end_watches")

    def _kill_hollow(self, event: Event) -> None:
        self._add(event.at_s, "kill_hollow")


def _with_status(backend: ListedBackend, status: Phase) -> ListedBackend:
    return msgspec.structs.replace(backend, status=status)
