"""A coordinator with a synthetic fleet and its management protocols, in one thread and without sockets.

All that varies between runs is fixed: the clock, the metrics of the state folder, the name of the folder. A
fake connection takes the place of the management listener's and records the bytes that the protocol sends.
"""

import os
from pathlib import Path

import msgspec
import orjson

from granitespool import operator_settings
from granitespool.cli.keys import make
from granitespool.net import config
from granitespool.net.service import Service
from granitespool.planner.events import (
    Acknowledged,
    EndpointListUpdate,
    ListForm,
    LoadReport,
    ProxyJoined,
    UsageReport,
)
from granitespool.state.snapshotter import StateMetrics
from support.records import endpoint

SECOND = 1_000_000_000  # ns
START = 1_800_000_000 * SECOND  # ns since 1970; the clock does not advance by itself
BACKENDS = 8
PROXIES = 8
UNASSIGNED_PROXIES = 150  # more proxies than can be assigned at once
SECONDS = 13  # simulated time; long enough for the failing link to be ejected at the end
LIST_CHANGES = (
    (8, "s-2", "draining"),
    (8, "s-3", "draining"),
    (8, "s-8", "ready"),
    (10, "s-3", "gone"),
)  # (second, backend, phase)
CONFIGURATION = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "seed": "1f",
    "limits": {"sockets": 512, "memory_mb": 96},
    "known": {
        "index": 7,
        "snapshot": True,
        "endpoints": [
            {
                "name": f"s-{number}",
                "address": "127.0.0.1:9",
                "zone": "ns"[number % 2],
                "type": ("big", "small")[number % 3 == 0],
                "group": number // 4,
                "status": "ready",
                "weight": 1.0 if number % 3 else 0.5,
                "since_ms": 0,
            }
            for number in range(BACKENDS)
        ],
    },
    "settings": {
        "zones": ["n", "s"],
        "classes": [
            {
                "name": "pay",
                "semantics": "single_shot",
                "aim_us": 300_000,
                "give_up_us": 900_000,
                "worth": 5.0,
                "late_share": 0.25,
            },
            {"name": "ask", "semantics": "free", "aim_us": 400_000, "give_up_us": 800_000, "worth": 1.0},
        ],
        "family_info": {
            "admit": "fraction",
            "egress_per_s": 1000.0,
            "envelope": 2,
            "most_waiting": 2000.0,
            "messages_most": 30,
            "counted_over_us": 10_000_000,
            "proxy_count": 16,
            "bootstrap": 2,
        },
        "permissions": {"probes": True, "connect_timeout_us": 250_000},
        "rules": {
            "stop_sending_within_us": 3_000_000,
            "cold_us": 10_000_000,
            "cold_from": 0.1,
            "soft_removal": True,
        },
    },
}
OPERATOR = """
[state]
folder = state
every_ms = 500
most_mb = 32
half_life_s = 12.5
oldest_s = 60
[tls]
certificate = server.pem
key = server.key
authorities = ca.pem
[netconf]
listen = 127.0.0.1:0
[gnmi]
listen = 127.0.0.1:0
[user.operations]
certificate = cn:operations
write = *
[user.pacer]
certificate = cn:pacer
write = channel
[user.blind]
certificate = cn:blind
read = false
"""


class FakeListener:
    """A listener with the attribute that a protocol reads."""

    streams = 64


class FakeTransport:
    """A connection that records the sent bytes and the reason of its end."""

    listener = FakeListener()
    unsent = 0

    def __init__(self, loop):
        self.loop, self.end_reason = loop, None
        self.sent = bytearray()

    def now(self):
        return self.loop.now

    def send(self, data):
        self.sent += data

    def end(self, why):
        self.end_reason = self.end_reason or why

    def wake(self):
        """Do nothing: `ManagedCoordinator.run_protocol` checks for work itself."""

    def take_sent(self):
        """Return the bytes sent since the last call."""
        data = bytes(self.sent)
        self.sent.clear()
        return data


class ManagedCoordinator:
    """A service with a synthetic fleet, as a context manager.

    `folder` must be the working directory; the state folder is `state` within it.
    """

    def __init__(self, folder):
        make(str(folder / "keys"), ["127.0.0.1"], ["operations"], "5")
        path = folder / "keys" / "operator_settings.ini"
        path.write_text(OPERATOR)
        read = operator_settings.load(str(path))
        # The name of the state folder is part of the tree: a relative name is equal in all runs.
        read = msgspec.structs.replace(read, state=msgspec.structs.replace(read.state, folder="state"))
        self.file = folder / "config.json"
        self.file.write_bytes(orjson.dumps(CONFIGURATION))
        self.config = {**config.load(str(self.file)), "operator": read}

    def __enter__(self):
        self.service = Service(
            self.config, os.open(os.devnull, os.O_WRONLY), clock=lambda: START, monotonic_clock=lambda: START
        )
        self.service.snapshotter.metrics = lambda: StateMetrics(40_960, 12, False)
        self.service.snapshotter.is_durable = lambda ticket: True
        self.loop, self.coordinator = self.service.loop, self.service.coordinator
        self.management = self.service.management
        self.run_fleet()
        return self

    def __exit__(self, *_):
        self.service.close()

    def report(self, event):
        self.coordinator.report(self.loop.now, event)

    def end_turn(self, after=0):
        """End a turn, return the orders by recipient, and advance the clock by `after` ns."""
        self.coordinator.tick(self.loop.now)
        orders = {recipient: self.coordinator.pick(recipient) for recipient in self.coordinator.recipients()}
        self.loop.now += after
        return orders

    def run_fleet(self):
        """Bring the fleet into its final state.

        It has an ejected link, a draining, a gone and a new backend, an overload, and assigned and unassigned
        proxies.
        """
        for proxy in range(PROXIES):
            self.report(ProxyJoined(proxy=proxy, zone="ns"[proxy % 2], bootstrap=False, rate=50.0))
        for second in range(SECONDS):
            self.run_second(second)
            barriers = {
                recipient: order.barrier
                for recipient, order in self.end_turn(SECOND // 10).items()
                if recipient in range(PROXIES)
            }
            for proxy, barrier in barriers.items():
                if barrier is not None:
                    self.report(Acknowledged(proxy=proxy, sequence=barrier, latency=SECOND // 10))
            self.end_turn(SECOND - SECOND // 10)
        for proxy in range(PROXIES, PROXIES + UNASSIGNED_PROXIES):
            self.report(ProxyJoined(proxy=proxy, zone="n", bootstrap=True, rate=5.0))

    def run_second(self, second):
        overloaded = second >= 6
        for number in range(BACKENDS):
            if second == 0 and number == 5:
                continue
            for zone in "ns":
                fails = number == 1 and zone == "n" and second >= 2
                self.report(
                    LoadReport(
                        zone=zone,
                        backend=f"s-{number}",
                        attempts=40,
                        failures=40 if fails else 1,
                        mean=0 if fails else (260 if overloaded else 40 + 5 * number) * SECOND // 1000,
                        window=SECOND,
                        load={},
                    ),
                )
        for proxy in range(PROXIES):
            for name, number in (("pay", 30), ("ask", 50)):
                self.report(
                    UsageReport(proxy=proxy, request_class=name, requests=number, unanswered=1, window=SECOND)
                )
        for list_change_second, backend, phase in LIST_CHANGES:
            if list_change_second == second:
                self.change_list_entry(backend, phase)

    def change_list_entry(self, backend, phase):
        started_at = self.loop.now - SECOND if backend == "s-8" else 0
        entry = endpoint(backend, machine_type="big", phase=phase, started_at=started_at)
        self.report(EndpointListUpdate(form=ListForm.CHANGES, entries=[entry]))

    def user(self, name):
        return next(user for user in self.management.users if user.name == name)

    def session(self, protocol, user="operations"):
        """Start a session of a protocol class; return the session and its transport."""
        transport = FakeTransport(self.loop)
        session = self.management.open_session(protocol, self.user(user), transport)
        session.start()
        return session, transport

    def run_protocol(self, session):
        """Run a session until it has no more work, as the listener and the service do."""
        for _ in range(100_000):
            if session.has_work:
                session.work()
                continue
            self.management.end_of_turn(self.loop.now)
            if not session.has_work:
                return
        raise AssertionError("the session still has work after 100000 steps")


def compare_with_record(name, text, folder):
    """Compare a text with tests/data/`name`; a differing text is also written to the folder."""
    path = Path(__file__).parent.parent / "data" / name
    recorded = path.read_text() if path.exists() else ""
    if text != recorded:
        (folder / path.name).write_text(text)
    assert text.splitlines() == recorded.splitlines(), f"{folder / path.name} differs from tests/data/{name}"
    assert text == recorded
