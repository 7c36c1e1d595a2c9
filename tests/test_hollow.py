"""Tests that a hollow coordinator writes the same messages, counts and bytes as a real one.

A stand-in acts as discovery, proxies and a collector for either of them, in this thread and on a virtual
clock. The profile of the hollow coordinator is measured from the events that the stand-in recorded of the
real one.
"""

import json
import os
import socket
from collections import defaultdict
from contextlib import ExitStack

import pytest

from granitespool.net.buffers import BufferPool
from granitespool.net.config import compute_quotas
from granitespool.net.frames import LENGTH_SIZE, MESSAGE_MAX, Reader, frame
from granitespool.net.loop import SECOND, Loop
from granitespool.net.service import Service
from granitespool.scale.hollow.coordinator import HollowCoordinator
from granitespool.scale.hollow.counts import Traffic
from granitespool.scale.hollow.measurement import measure_profile
from granitespool.scale.hollow.messages import update_message
from granitespool.scale.trace import BackendListed, ProxyJoined, ProxyLeft, UpdateReceived
from granitespool.settings import RequestClass, Settings

START_TIME = 10**18  # ns of the virtual clock at the start
STEP = SECOND // 20  # ns by which the virtual clock advances
TURN_WAIT = 1_000_000  # ns of real time that a turn of the loop may wait for data
WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ZONE = "n"


def entry(name, status="ready", since_ms=0):
    return {
        "name": name,
        "address": "127.0.0.1:9",
        "zone": ZONE,
        "type": "m",
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


class RealSubject:
    """A real coordinator: a complete service, whose log is discarded."""

    def __init__(self, discovery, clock):
        self.log = os.open(os.devnull, os.O_WRONLY)
        config = {
            "name": "real",
            "listen": ("127.0.0.1", 0),
            "discovery": discovery,
            "seed": 1,
            **compute_quotas({}),
            "peer_listen": None,
            "peers": [],
            "peers_all": None,
            "known": {"index": 0, "endpoints": []},
            "settings": Settings(
                zones=[ZONE],
                health_checks_allowed=False,
                proxies_expected=64,
                entries_per_s=5000.0,
                backlog_limit=9000.0,
                message_header=3.0,
                drain_grace=7 * SECOND,
                classes=[RequestClass(name="pay", latency_objective=SECOND, priority_weight=1.0)],
            ),
        }
        self.service = Service(config, self.log, clock)
        self.address = self.service.streams.listener.getsockname()

    def turn(self, wait):
        self.service.turn(wait)

    def close(self):
        self.service.close()
        os.close(self.log)


class HollowSubject:
    """One hollow coordinator with its own loop."""

    def __init__(self, discovery, clock, profile):
        self.failures = []
        self.loop = Loop(self.failures.append, clock)
        self.coordinator = HollowCoordinator(self.loop, "hollow", discovery, profile)
        self.address = self.coordinator.address

    def turn(self, wait):
        self.loop.turn(lambda _: None, wait)
        assert not self.failures, self.failures

    def close(self):
        self.coordinator.close()
        assert not self.loop.tasks
        assert self.coordinator.pool.in_use == 0
        assert not self.coordinator.connections
        self.loop.close()


class StandIn:
    """Discovery, proxies and a collector for one coordinator; `events` are their observations."""

    def __init__(self, stack, subject, *arguments):
        self.now, self.stack = START_TIME, stack
        self.index, self.listed = 1, {}
        self.events, self.received = [], defaultdict(list)  # proxy -> sizes of the parts of each message
        self.sent_traffic, self.received_traffic = defaultdict(Traffic), defaultdict(Traffic)  # by kind
        self.requests, self.watches = [], []  # received by discovery; sockets
        self.proxies, self.readers, self.parts = {}, {}, defaultdict(tuple)
        self.pool = BufferPool(64)
        self.discovery = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        self.discovery.setblocking(False)
        self.subject = subject(self.discovery.getsockname(), lambda: self.now, *arguments)
        stack.callback(self.subject.close)

    def connect(self):
        sock = self.stack.enter_context(socket.create_connection(self.subject.address))
        # Otherwise a message would wait for a TCP acknowledgement
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        return sock

    def send(self, sock, **message):
        data = frame(message)
        sock.sendall(data)
        self.sent_traffic[message["type"]].add(len(data))

    def join(self, proxy):
        if proxy in self.proxies:
            self.events.append(ProxyLeft(at=self.now, proxy=proxy, coordinator="c"))
            self.proxies[proxy].close()
            self.readers[proxy].close()
            self.parts.pop(proxy, None)
        sock = self.proxies[proxy] = self.connect()
        self.readers[proxy] = Reader(self.pool, MESSAGE_MAX)
        self.events.append(ProxyJoined(at=self.now, proxy=proxy, coordinator="c"))
        self.send(sock, type="joined", node=proxy, locality=ZONE, w=5.0, cold=True)

    def publish(self, *entries, snapshot=False):
        """Write changes of the endpoint list, or a complete list, to all watches."""
        self.index += 1
        if snapshot:
            self.listed = {}
        self.listed.update((entry["name"], entry) for entry in entries)
        self._write_list(self.watches, entries, snapshot)

    def _write_list(self, watches, entries, snapshot):
        message = {"index": self.index, "snapshot": snapshot, "endpoints": list(entries)}
        line = json.dumps(message).encode() + b"\n"
        for sock in watches:
            sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))
            self.sent_traffic["list"].add(len(line))
            for entry in entries:
                started = entry["since_ms"] * 1_000_000
                fields = {"backend": entry["name"], "phase": entry["status"], "started": started}
                self.events.append(BackendListed(at=self.now, coordinator="c", **fields))

    def receive_all(self):
        """Handle the received data of discovery and proxies; return whether there was any."""
        moved = self._accept_watch()
        for proxy, sock in self.proxies.items():
            reader = self.readers[proxy]
            try:
                size = sock.recv_into(reader.free_space())
            except BlockingIOError:
                continue
            assert size, f"the stream of proxy {proxy} was closed"
            moved = True
            reader.received(size)
            before = reader.available
            for message in reader.messages():
                self._receive_part(proxy, message, before - reader.available)
                before = reader.available
        return moved

    def _accept_watch(self):
        try:
            sock, _ = self.discovery.accept()
        except BlockingIOError:
            return False
        self.stack.enter_context(sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(5)
        request = b""
        while not request.endswith(b"\r\n\r\n"):
            self.subject.turn(TURN_WAIT)
            request += sock.recv(4096)
        self.requests.append(request)
        sock.sendall(WATCH_RESPONSE_HEAD)
        self.watches.append(sock)
        self._write_list([sock], list(self.listed.values()), True)
        return True

    def _receive_part(self, proxy, message, size):
        if message["type"] != "update":
            return self.received_traffic[message["type"]].add(size)
        self.parts[proxy] += (size,)
        if message.get("more"):
            return None
        parts = self.parts.pop(proxy)
        self.received_traffic["update"].add(sum(parts))
        self.received[proxy].append(parts)
        self.events.append(UpdateReceived(at=self.now, proxy=proxy, parts=parts))
        if "ticket" in message:
            self.send(self.proxies[proxy], type="applied", node=proxy, nonce=message["ticket"], latency=10.0)
        return None

    def run_until_idle(self):
        """Run the coordinator until nothing is received any more, without advancing the clock."""
        quiet = 0
        while quiet < 2:
            self.subject.turn(TURN_WAIT if quiet else 0)
            quiet = 0 if self.receive_all() else quiet + 1

    def run(self, seconds):
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.run_until_idle()
            self.now += STEP
            if self.now % (2 * SECOND) == 0:
                for sock in self.watches:
                    sock.sendall(b"1\r\n\n\r\n")


def send_reports(stand_in, collector, slow=None):
    for name, listed in stand_in.listed.items():
        if listed["status"] == "ready":
            stand_in.send(
                collector,
                type="heard",
                locality=ZONE,
                endpoint=name,
                total=40,
                errors=1,
                rtt=300.0 if name == slow else 40.0,
                interval=1000.0,
            )
    for proxy, sock in stand_in.proxies.items():
        stand_in.send(sock, type="usage", node=proxy, route="pay", total=40, errors=0, interval=1000.0)


def run_day(stand_in, proxies):
    """Run joins, pings, load reports, a drain, a new backend, a reconnecting proxy and a new snapshot."""
    stand_in.run(0.7)  # avoid events at full seconds, when a planner checks its fleet
    stand_in.publish(*(entry(f"s{number}") for number in range(6)), snapshot=True)
    stand_in.run(0.5)
    collector = stand_in.connect()
    stand_in.send(collector, type="collector", locality=ZONE)
    for proxy in range(proxies):
        stand_in.join(proxy)
    for second in range(30):
        send_reports(stand_in, collector, slow="s3" if second > 8 else None)
        if second == 5:
            stand_in.publish(entry("s1", "draining"))
        if second == 12:
            stand_in.publish(entry("s1", "gone"), entry("s9", since_ms=stand_in.now // 1_000_000))
        if second == 16:
            stand_in.join(proxies)
        if second == 18:
            stand_in.join(0)
        if second == 20:
            for sock in stand_in.proxies.values():
                stand_in.send(sock, type="ping")
        if second == 22:
            stand_in.publish(*stand_in.listed.values(), snapshot=True)
        stand_in.run(1)
    return stand_in


def profile_of(stand_in):
    return measure_profile(stand_in.events, stand_in.now)


def hollow_day(stack, profile, proxies):
    return run_day(StandIn(stack, HollowSubject, profile), proxies)


def test_a_hollow_coordinator_gives_the_same_messages_counts_and_bytes_as_a_real_one():
    with ExitStack() as stack:
        real = run_day(StandIn(stack, RealSubject), 3)
        profile = profile_of(real)
        assert profile.joining.rate == 1.0
        assert profile.change.rate > 0
        assert profile.refresh.rate > 0.1
        hollow = hollow_day(stack, profile, 3)
        assert hollow.received_traffic == real.received_traffic
        assert hollow.sent_traffic == real.sent_traffic
        assert hollow.received == real.received  # message by message at each proxy
        assert [len(request) for request in hollow.requests] == [len(request) for request in real.requests]


def test_its_counts_are_those_of_what_its_clients_sent_and_received():
    with ExitStack() as stack:
        profile = profile_of(run_day(StandIn(stack, RealSubject), 2))
        hollow = hollow_day(stack, profile, 2)
        counts = hollow.subject.coordinator.counts
        assert counts.received == hollow.sent_traffic
        assert counts.sent == hollow.received_traffic
        assert counts.received["heard"].messages > 100


def test_a_profile_of_three_proxies_predicts_the_messages_to_six():
    with ExitStack() as stack:
        profile = profile_of(run_day(StandIn(stack, RealSubject), 3))
        real = run_day(StandIn(stack, RealSubject), 6)
        hollow = hollow_day(stack, profile, 6)
        assert hollow.received_traffic["update"].messages == pytest.approx(
            real.received_traffic["update"].messages, rel=0.1
        )
        assert hollow.received_traffic["update"].bytes == pytest.approx(
            real.received_traffic["update"].bytes, rel=0.1
        )
        assert hollow.received_traffic["pong"] == real.received_traffic["pong"]


FIRST_TABLE_PARTS = (200,)


def profile_of_joins(*parts):
    return measure_profile(
        [ProxyJoined(at=0, proxy=0, coordinator="c"), UpdateReceived(at=1, proxy=0, parts=parts)], SECOND
    )


def test_a_closed_watch_is_reopened_from_the_current_version_and_the_list_is_kept():
    with ExitStack() as stack:
        stand_in = StandIn(stack, HollowSubject, profile_of_joins(*FIRST_TABLE_PARTS))
        stand_in.publish(entry("s1"), entry("s2"), snapshot=True)
        stand_in.run(1)
        assert len(stand_in.requests) == 1
        assert b"after=0" in stand_in.requests[0]
        stand_in.watches.pop().close()
        stand_in.run(2)
        assert len(stand_in.requests) == 2
        assert f"after={stand_in.index} ".encode() in stand_in.requests[1]
        assert stand_in.subject.coordinator.counts.watches_ended == 1
        stand_in.join(1)
        stand_in.run(0.5)
        assert stand_in.received[1] == [FIRST_TABLE_PARTS]


def test_a_silent_watch_is_reopened():
    with ExitStack() as stack:
        stand_in = StandIn(stack, HollowSubject, profile_of_joins(*FIRST_TABLE_PARTS))
        stand_in.publish(entry("s1"), snapshot=True)
        stand_in.run(1)
        stand_in.watches.clear()  # the watches stay open, but receive no more lines
        stand_in.run(4)
        assert len(stand_in.requests) >= 2


def test_changes_of_an_older_version_are_ignored():
    with ExitStack() as stack:
        stand_in = StandIn(stack, HollowSubject, profile_of_joins(*FIRST_TABLE_PARTS))
        stand_in.publish(entry("s1"), snapshot=True)
        stand_in.run(1)
        stand_in.index -= 2
        stand_in.publish(entry("s1", "gone"))
        stand_in.run(1)
        stand_in.join(1)
        stand_in.run(0.5)
        assert stand_in.received[1] == [FIRST_TABLE_PARTS]


def test_a_proxy_that_joins_before_the_first_list_gets_its_table_with_the_list():
    with ExitStack() as stack:
        stand_in = StandIn(stack, HollowSubject, profile_of_joins(*FIRST_TABLE_PARTS))
        stand_in.join(1)
        stand_in.run(1)
        assert stand_in.received[1] == []
        stand_in.publish(entry("s1"), snapshot=True)
        stand_in.run(1)
        assert stand_in.received[1] == [FIRST_TABLE_PARTS]


@pytest.mark.parametrize(
    "data",
    [
        b"\x04\0\0\0abcd",
        (MESSAGE_MAX + 1).to_bytes(LENGTH_SIZE, "little"),
        frame([]),
        frame({"no": "type"}),
        frame({"type": "joined", "locality": ZONE}),
        frame({"type": "joined", "node": -1, "locality": ZONE}),
    ],
)
def test_a_malformed_message_closes_only_its_connection_and_is_counted(data):
    with ExitStack() as stack:
        stand_in = StandIn(stack, HollowSubject, profile_of_joins(*FIRST_TABLE_PARTS))
        stand_in.publish(entry("s1"), snapshot=True)
        stand_in.join(1)
        other = stand_in.connect()
        other.sendall(data)
        stand_in.run(0.5)
        assert other.recv(100) == b""
        assert stand_in.subject.coordinator.counts.received["unreadable"].messages == 1
        assert len(stand_in.subject.coordinator.connections) == 1
        stand_in.send(stand_in.proxies[1], type="ping")
        stand_in.run(0.5)
        assert stand_in.received_traffic["pong"].messages == 1


def test_a_new_stream_of_a_proxy_replaces_the_former_one():
    with ExitStack() as stack:
        stand_in = StandIn(stack, HollowSubject, profile_of_joins(*FIRST_TABLE_PARTS))
        stand_in.publish(entry("s1"), snapshot=True)
        stand_in.join(1)
        stand_in.run(0.5)
        later = stand_in.connect()
        stand_in.send(later, type="joined", node=1, locality=ZONE, w=1.0, cold=False)
        for _ in range(3):
            stand_in.subject.turn(TURN_WAIT)
        assert stand_in.proxies.pop(1).recv(100) == b""
        assert len(stand_in.subject.coordinator.connections) == 1
        assert len(later.recv(4096)) == sum(FIRST_TABLE_PARTS)


def test_many_hollow_coordinators_share_one_loop_and_release_their_resources():
    with ExitStack() as stack:
        now = [START_TIME]
        loop = Loop(pytest.fail, lambda: now[0])
        stack.callback(loop.close)
        discovery = stack.enter_context(socket.create_server(("127.0.0.1", 0))).getsockname()
        coordinators = [
            HollowCoordinator(loop, f"h{number}", discovery, profile_of_joins(*FIRST_TABLE_PARTS))
            for number in range(20)
        ]
        assert len({coordinator.address for coordinator in coordinators}) == 20
        socks = [
            stack.enter_context(socket.create_connection(coordinator.address)) for coordinator in coordinators
        ]
        for sock in socks:
            sock.sendall(frame({"type": "ping"}))
        while (
            sum(
                coordinator.counts.sent["pong"].messages
                for coordinator in coordinators
                if coordinator.counts.sent
            )
            < 20
        ):
            loop.turn(lambda _: None, TURN_WAIT)
        coordinators.pop().close()
        assert len(loop.tasks) == 19 * 3
        for coordinator in coordinators:
            coordinator.close()
        assert not loop.tasks


def test_a_proxy_gets_no_further_message_until_it_has_read_the_previous_one():
    with ExitStack() as stack:
        profile = measure_profile(
            [
                ProxyJoined(at=0, proxy=0, coordinator="c"),
                UpdateReceived(at=1, proxy=0, parts=(1 << 19,) * 60),
                UpdateReceived(at=SECOND, proxy=0, parts=(100,)),
            ],
            SECOND + 1,
        )
        stand_in = StandIn(stack, HollowSubject, profile)
        stand_in.publish(entry("s1"), snapshot=True)
        stand_in.run(0.5)
        sock = stand_in.connect()
        stand_in.send(sock, type="joined", node=1, locality=ZONE, w=1.0, cold=True)
        stand_in.run(5)
        counts = stand_in.subject.coordinator.counts
        assert counts.sent["update"].messages == 1
        received = 0
        while received < 60 << 19:
            stand_in.subject.turn(0)
            received += len(sock.recv(1 << 20))
        stand_in.run(2)
        assert counts.sent["update"].messages > 1


def test_an_update_message_follows_the_protocol_and_has_the_requested_size():
    entries = [[f"s{number}", 1.0] for number in range(500)]
    data = update_message((900, 400, 300), entries, True, 7)
    assert len(data) == 1600
    reader = Reader(BufferPool(4), MESSAGE_MAX)
    reader.free_space()[: len(data)] = data
    reader.received(len(data))
    first, second, last = reader.messages()
    assert first["whole"]
    assert first["more"]
    assert second["more"]
    assert "whole" not in second
    assert "more" not in last
    assert last["ticket"] == 7
    written = first["lines"] + second["lines"] + last["lines"]
    assert written == entries[: len(written)]
    assert len(written) > 80


def test_a_profile_distinguishes_messages_after_joins_after_changes_and_by_time():
    events = [
        BackendListed(at=0, coordinator="c", backend="s1", phase="ready"),
        ProxyJoined(at=0, proxy=1, coordinator="c"),
        UpdateReceived(at=1, proxy=1, parts=(100, 50)),
        ProxyJoined(at=2, proxy=2, coordinator="c"),
        BackendListed(at=SECOND, coordinator="c", backend="s1", phase="ready"),  # not a change
        BackendListed(at=SECOND, coordinator="c", backend="s1", phase="draining"),
        BackendListed(at=SECOND, coordinator="c", backend="s2", phase="ready"),  # same change
        UpdateReceived(at=SECOND, proxy=1, parts=(40,)),
        UpdateReceived(at=SECOND + 5, proxy=1, parts=(30,)),
        BackendListed(at=5 * SECOND, coordinator="c", backend="s1", phase="gone"),
        UpdateReceived(at=7 * SECOND, proxy=1, parts=(31,)),
        ProxyLeft(at=8 * SECOND, proxy=1, coordinator="c"),
    ]
    profile = measure_profile(events, 10 * SECOND)
    assert profile.joining.occasions == ((100, 50), None)
    assert profile.joining.rate == 0.5
    assert profile.change.occasions == ((40,), None)
    assert [(flush.offset, flush.messages) for flush in profile.refresh.flushes] == [
        (SECOND + 5, ((30,), None)),
        (7 * SECOND, ((31,), None)),
    ]
    assert profile.refresh.rate == 2 * SECOND / (8 * SECOND + 10 * SECOND - 2)
    assert profile.refresh.due(3) == 17 * SECOND
    with pytest.raises(ValueError, match="8000000000"):
        measure_profile(events, 8 * SECOND)
    with pytest.raises(TypeError):
        measure_profile(["an event"], SECOND)
