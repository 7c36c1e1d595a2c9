"""A coordinator with a made-up fleet behind its management protocols, in one thread and without sockets.

Everything that varies between runs is pinned: the clock, the state folder's figures, the folder's name. A
session stands in for the management listener's: it collects what the protocol sends."""

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
START = 1_800_000_000 * SECOND  # ns since 1970: the pinned clock
BACKENDS = 8
PROXIES = 8
JOINERS = 150  # more than can be given a table at once
SECONDS = 13  # so that the cut link is cut at the end
LIST_CHANGES = (
    (8, "s-2", "draining"),
    (8, "s-3", "draining"),
    (8, "s-8", "ready"),
    (10, "s-3", "gone"),
)  # second, backend, phase
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


class PinnedListener:
    """What a protocol reads of its listener."""

    streams = 64


class RecordedSession:
    """Stands in for the listener's session: what is sent and why it ends is kept."""

    listener = PinnedListener()
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
        """Nothing waits here: `ManagedCoordinator.play` looks at each session."""

    def taken(self):
        """What was sent since the last call."""
        data = bytes(self.sent)
        self.sent.clear()
        return data


class ManagedCoordinator:
    """`with ManagedCoordinator(folder) as managed`; the folder becomes the working directory's `state`."""

    def __init__(self, folder):
        make(str(folder / "keys"), ["127.0.0.1"], ["operations"], "5")
        path = folder / "keys" / "operator_settings.ini"
        path.write_text(OPERATOR)
        read = operator_settings.load(str(path))
        # The folder's name is part of the tree: one that is relative is the same in each run.
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
        self.fleet()
        return self

    def __exit__(self, *_):
        self.service.close()

    def report(self, event):
        self.coordinator.report(self.loop.now, event)

    def turn(self, after=0):
        """Ends a turn, takes what is ordered, and goes on after so many ns."""
        self.coordinator.tick(self.loop.now)
        orders = {party: self.coordinator.next_message(party) for party in self.coordinator.recipients()}
        self.loop.now += after
        return orders

    def fleet(self):
        """A cut link, a draining, a gone and a new backend, an overload, proxies on tables and others that
        wait for theirs."""
        for proxy in range(PROXIES):
            self.report(ProxyJoined(proxy=proxy, zone="ns"[proxy % 2], bootstrap=False, rate=50.0))
        for second in range(SECONDS):
            self.second(second)
            marks = {
                party: order.barrier
                for party, order in self.turn(SECOND // 10).items()
                if party in range(PROXIES)
            }
            for proxy, mark in marks.items():
                if mark is not None:
                    self.report(Acknowledged(proxy=proxy, sequence=mark, latency=SECOND // 10))
            self.turn(SECOND - SECOND // 10)
        for proxy in range(PROXIES, PROXIES + JOINERS):
            self.report(ProxyJoined(proxy=proxy, zone="n", bootstrap=True, rate=5.0))

    def second(self, second):
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
        for at, backend, phase in LIST_CHANGES:
            if at == second:
                self.list_change(backend, phase)

    def list_change(self, backend, phase):
        started_at = self.loop.now - SECOND if backend == "s-8" else 0
        entry = endpoint(backend, machine_type="big", phase=phase, started_at=started_at)
        self.report(EndpointListUpdate(form=ListForm.CHANGES, entries=[entry]))

    def user(self, name):
        return next(user for user in self.management.users if user.name == name)

    def session(self, protocol, user="operations"):
        """(protocol, session) of a new session that has begun."""
        session = RecordedSession(self.loop)
        made = self.management.open_session(protocol, self.user(user), session)
        made.start()
        return made, session

    def play(self, made):
        """Works until a protocol has nothing more to do, as the listener and the service would."""
        for _ in range(100_000):
            if made.has_work:
                made.work()
                continue
            self.management.end_of_turn(self.loop.now)
            if not made.has_work:
                return
        raise AssertionError("it never ends")


def compare_with_record(name, text, folder):
    """Compares with tests/data/`name`; what differs is also written to the folder, to be looked at."""
    path = Path(__file__).parent.parent / "data" / name
    recorded = path.read_text() if path.exists() else ""
    if text != recorded:
        (folder / path.name).write_text(text)
    assert text.splitlines() == recorded.splitlines(), f"{folder / path.name} differs from tests/data/{name}"
    assert text == recorded
