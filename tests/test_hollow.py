"""The hollow coordinator against the real one: the same day gives the same messages, counts and bytes.

A stand-in plays discovery, proxies and a collector before either of them, in this thread and on a clock of
the test. The hollow one's profile is measured from what the stand-in saw of the real one."""

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
from granitespool.scale.hollow.messages import update_of
from granitespool.scale.trace import BackendListed, ProxyJoined, ProxyLeft, UpdateReceived
from granitespool.settings import RequestClass, Settings

EPOCH = 10**18  # ns: the clock begins here
STEP = SECOND // 20
PAUSE = 1_000_000  # ns of real time that a turn may wait for bytes on loopback
HEAD_OF_WATCH = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
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
    """A whole service, whose log nobody reads."""

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
    """One hollow coordinator on a loop of its own."""

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
    """Discovery, proxies and a collector before one subject; `events` is what they saw of it."""

    def __init__(self, stack, subject, *words):
        self.now, self.stack = EPOCH, stack
        self.index, self.listed = 1, {}
        self.events, self.received = [], defaultdict(list)  # proxy -> the parts of each message
        self.sent, self.got = defaultdict(Traffic), defaultdict(Traffic)  # by kind
        self.asked, self.watches = [], []  # what discovery was asked for; who watches
        self.proxies, self.readers, self.parts = {}, {}, defaultdict(tuple)
        self.pool = BufferPool(64)
        self.discovery = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        self.discovery.setblocking(False)
        self.subject = subject(self.discovery.getsockname(), lambda: self.now, *words)
        stack.callback(self.subject.close)

    def connect(self):
        sock = self.stack.enter_context(socket.create_connection(self.subject.address))
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )  # else a message waits for an acknowledgement
        sock.setblocking(False)
        return sock

    def say(self, sock, **message):
        data = frame(message)
        sock.sendall(data)
        self.sent[message["type"]].add(len(data))

    def join(self, proxy):
        if proxy in self.proxies:
            self.events.append(ProxyLeft(at=self.now, proxy=proxy, coordinator="c"))
            self.proxies[proxy].close()
            self.readers[proxy].close()
            self.parts.pop(proxy, None)
        sock = self.proxies[proxy] = self.connect()
        self.readers[proxy] = Reader(self.pool, MESSAGE_MAX)
        self.events.append(ProxyJoined(at=self.now, proxy=proxy, coordinator="c"))
        self.say(sock, type="joined", node=proxy, locality=ZONE, w=5.0, cold=True)

    def lists(self, *entries, snapshot=False):
        """Discovery has a list, or changes of it, for who watches."""
        self.index += 1
        if snapshot:
            self.listed = {}
        self.listed.update((each["name"], each) for each in entries)
        self._tell(self.watches, entries, snapshot)

    def _tell(self, watches, entries, snapshot):
        message = {"index": self.index, "snapshot": snapshot, "endpoints": list(entries)}
        line = json.dumps(message).encode() + b"\n"
        for sock in watches:
            sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))
            self.sent["list"].add(len(line))
            for each in entries:
                started = each["since_ms"] * 1_000_000
                told = {"backend": each["name"], "phase": each["status"], "started": started}
                self.events.append(BackendListed(at=self.now, coordinator="c", **told))

    def pump(self):
        """Answers what has come; True where anything did."""
        moved = self._watched()
        for proxy, sock in self.proxies.items():
            reader = self.readers[proxy]
            try:
                size = sock.recv_into(reader.free_space())
            except BlockingIOError:
                continue
            assert size, f"the stream of proxy {proxy} was ended"
            moved = True
            reader.received(size)
            before = reader.available
            for message in reader.messages():
                self._part(proxy, message, before - reader.available)
                before = reader.available
        return moved

    def _watched(self):
        try:
            sock, _ = self.discovery.accept()
        except BlockingIOError:
            return False
        self.stack.enter_context(sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(5)
        request = b""
        while not request.endswith(b"\r\n\r\n"):
            self.subject.turn(PAUSE)
            request += sock.recv(4096)
        self.asked.append(request)
        sock.sendall(HEAD_OF_WATCH)
        self.watches.append(sock)
        self._tell([sock], list(self.listed.values()), True)
        return True

    def _part(self, proxy, message, size):
        if message["type"] != "update":
            return self.got[message["type"]].add(size)
        self.parts[proxy] += (size,)
        if message.get("more"):
            return None
        parts = self.parts.pop(proxy)
        self.got["update"].add(sum(parts))
        self.received[proxy].append(parts)
        self.events.append(UpdateReceived(at=self.now, proxy=proxy, parts=parts))
        if "ticket" in message:
            self.say(self.proxies[proxy], type="applied", node=proxy, nonce=message["ticket"], latency=10.0)
        return None

    def settle(self):
        """Turns until nothing moves any more, with the clock standing."""
        quiet = 0
        while quiet < 2:
            self.subject.turn(PAUSE if quiet else 0)
            quiet = 0 if self.pump() else quiet + 1

    def run(self, seconds):
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.settle()
            self.now += STEP
            if self.now % (2 * SECOND) == 0:
                for sock in self.watches:
                    sock.sendall(b"1\r\n\n\r\n")


def second_of_reports(stand_in, collector, slow=None):
    for name, listed in stand_in.listed.items():
        if listed["status"] == "ready":
            stand_in.say(
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
        stand_in.say(sock, type="usage", node=proxy, route="pay", total=40, errors=0, interval=1000.0)


def play_day(stand_in, proxies):
    """Joinings, pings, reports, a drain, a new backend, a stream that moves, a whole list anew."""
    stand_in.run(0.7)  # so that nothing is done at the seconds at which a planner looks at its fleet
    stand_in.lists(*(entry(f"s{number}") for number in range(6)), snapshot=True)
    stand_in.run(0.5)
    collector = stand_in.connect()
    stand_in.say(collector, type="collector", locality=ZONE)
    for proxy in range(proxies):
        stand_in.join(proxy)
    for second in range(30):
        second_of_reports(stand_in, collector, slow="s3" if second > 8 else None)
        if second == 5:
            stand_in.lists(entry("s1", "draining"))
        if second == 12:
            stand_in.lists(entry("s1", "gone"), entry("s9", since_ms=stand_in.now // 1_000_000))
        if second == 16:
            stand_in.join(proxies)
        if second == 18:
            stand_in.join(0)
        if second == 20:
            for sock in stand_in.proxies.values():
                stand_in.say(sock, type="ping")
        if second == 22:
            stand_in.lists(*stand_in.listed.values(), snapshot=True)
        stand_in.run(1)
    return stand_in


def profile_of(stand_in):
    return measure_profile(stand_in.events, stand_in.now)


def hollow_day(stack, profile, proxies):
    return play_day(StandIn(stack, HollowSubject, profile), proxies)


def test_the_same_day_gives_the_same_messages_counts_and_bytes_as_a_real_one():
    with ExitStack() as stack:
        real = play_day(StandIn(stack, RealSubject), 3)
        profile = profile_of(real)
        assert profile.joining.rate == 1.0
        assert profile.change.rate > 0
        assert profile.refresh.rate > 0.1
        hollow = hollow_day(stack, profile, 3)
        assert hollow.got == real.got
        assert hollow.sent == real.sent
        assert hollow.received == real.received  # message by message at each proxy
        assert [len(each) for each in hollow.asked] == [len(each) for each in real.asked]


def test_what_it_counts_is_what_the_others_sent_and_received():
    with ExitStack() as stack:
        profile = profile_of(play_day(StandIn(stack, RealSubject), 2))
        hollow = hollow_day(stack, profile, 2)
        counts = hollow.subject.coordinator.counts
        assert counts.received == hollow.sent
        assert counts.sent == hollow.got
        assert counts.received["heard"].messages > 100


def test_a_profile_of_three_proxies_tells_what_six_are_written():
    with ExitStack() as stack:
        profile = profile_of(play_day(StandIn(stack, RealSubject), 3))
        real = play_day(StandIn(stack, RealSubject), 6)
        hollow = hollow_day(stack, profile, 6)
        assert hollow.got["update"].messages == pytest.approx(real.got["update"].messages, rel=0.1)
        assert hollow.got["update"].bytes == pytest.approx(real.got["update"].bytes, rel=0.1)
        assert hollow.got["pong"] == real.got["pong"]


FIRST = (200,)


def only_joinings(*parts):
    return measure_profile(
        [ProxyJoined(at=0, proxy=0, coordinator="c"), UpdateReceived(at=1, proxy=0, parts=parts)], SECOND
    )


def test_one_that_loses_its_discovery_dials_again_from_its_version_and_keeps_its_list():
    with ExitStack() as stack:
        day = StandIn(stack, HollowSubject, only_joinings(*FIRST))
        day.lists(entry("s1"), entry("s2"), snapshot=True)
        day.run(1)
        assert len(day.asked) == 1
        assert b"after=0" in day.asked[0]
        day.watches.pop().close()
        day.run(2)
        assert len(day.asked) == 2
        assert f"after={day.index} ".encode() in day.asked[1]
        assert day.subject.coordinator.counts.watches_ended == 1
        day.join(1)
        day.run(0.5)
        assert day.received[1] == [FIRST]


def test_one_whose_discovery_is_silent_dials_again():
    with ExitStack() as stack:
        day = StandIn(stack, HollowSubject, only_joinings(*FIRST))
        day.lists(entry("s1"), snapshot=True)
        day.run(1)
        day.watches.clear()  # kept open, and no line comes any more
        day.run(4)
        assert len(day.asked) >= 2


def test_changes_of_an_older_version_change_nothing():
    with ExitStack() as stack:
        day = StandIn(stack, HollowSubject, only_joinings(*FIRST))
        day.lists(entry("s1"), snapshot=True)
        day.run(1)
        day.index -= 2
        day.lists(entry("s1", "gone"))
        day.run(1)
        day.join(1)
        day.run(0.5)
        assert day.received[1] == [FIRST]


def test_who_joins_before_the_first_list_is_written_its_table_once_it_is_there():
    with ExitStack() as stack:
        day = StandIn(stack, HollowSubject, only_joinings(*FIRST))
        day.join(1)
        day.run(1)
        assert day.received[1] == []
        day.lists(entry("s1"), snapshot=True)
        day.run(1)
        assert day.received[1] == [FIRST]


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
def test_what_cannot_be_read_ends_that_connection_alone_and_is_counted(data):
    with ExitStack() as stack:
        day = StandIn(stack, HollowSubject, only_joinings(*FIRST))
        day.lists(entry("s1"), snapshot=True)
        day.join(1)
        other = day.connect()
        other.sendall(data)
        day.run(0.5)
        assert other.recv(100) == b""
        assert day.subject.coordinator.counts.received["unreadable"].messages == 1
        assert len(day.subject.coordinator.connections) == 1
        day.say(day.proxies[1], type="ping")
        day.run(0.5)
        assert day.got["pong"].messages == 1


def test_a_later_stream_of_a_proxy_replaces_the_former():
    with ExitStack() as stack:
        day = StandIn(stack, HollowSubject, only_joinings(*FIRST))
        day.lists(entry("s1"), snapshot=True)
        day.join(1)
        day.run(0.5)
        later = day.connect()
        day.say(later, type="joined", node=1, locality=ZONE, w=1.0, cold=False)
        for _ in range(3):
            day.subject.turn(PAUSE)
        assert day.proxies.pop(1).recv(100) == b""
        assert len(day.subject.coordinator.connections) == 1
        assert len(later.recv(4096)) == sum(FIRST)


def test_many_share_one_loop_and_give_all_back():
    with ExitStack() as stack:
        now = [EPOCH]
        loop = Loop(pytest.fail, lambda: now[0])
        stack.callback(loop.close)
        nobody = stack.enter_context(socket.create_server(("127.0.0.1", 0))).getsockname()
        many = [HollowCoordinator(loop, f"h{number}", nobody, only_joinings(*FIRST)) for number in range(20)]
        assert len({each.address for each in many}) == 20
        socks = [stack.enter_context(socket.create_connection(each.address)) for each in many]
        for sock in socks:
            sock.sendall(frame({"type": "ping"}))
        while sum(each.counts.sent["pong"].messages for each in many if each.counts.sent) < 20:
            loop.turn(lambda _: None, PAUSE)
        many.pop().close()
        assert len(loop.tasks) == 19 * 3
        for each in many:
            each.close()
        assert not loop.tasks


def test_a_proxy_that_reads_nothing_is_not_written_to_again_until_it_has():
    with ExitStack() as stack:
        profile = measure_profile(
            [
                ProxyJoined(at=0, proxy=0, coordinator="c"),
                UpdateReceived(at=1, proxy=0, parts=(1 << 19,) * 60),
                UpdateReceived(at=SECOND, proxy=0, parts=(100,)),
            ],
            SECOND + 1,
        )
        day = StandIn(stack, HollowSubject, profile)
        day.lists(entry("s1"), snapshot=True)
        day.run(0.5)
        sock = day.connect()
        day.say(sock, type="joined", node=1, locality=ZONE, w=1.0, cold=True)
        day.run(5)
        counts = day.subject.coordinator.counts
        assert counts.sent["update"].messages == 1
        taken = 0
        while taken < 60 << 19:
            day.subject.turn(0)
            taken += len(sock.recv(1 << 20))
        day.run(2)
        assert counts.sent["update"].messages > 1


def test_its_messages_are_the_protocols_and_have_the_size_asked_for():
    lines = [[f"s{number}", 1.0] for number in range(500)]
    data = update_of((900, 400, 300), lines, True, 7)
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
    told = first["lines"] + second["lines"] + last["lines"]
    assert told == lines[: len(told)]
    assert len(told) > 80


def test_a_profile_tells_joinings_changes_and_times_apart():
    events = [
        BackendListed(at=0, coordinator="c", backend="s1", phase="ready"),
        ProxyJoined(at=0, proxy=1, coordinator="c"),
        UpdateReceived(at=1, proxy=1, parts=(100, 50)),
        ProxyJoined(at=2, proxy=2, coordinator="c"),
        BackendListed(at=SECOND, coordinator="c", backend="s1", phase="ready"),  # as it was: no change
        BackendListed(at=SECOND, coordinator="c", backend="s1", phase="draining"),
        BackendListed(at=SECOND, coordinator="c", backend="s2", phase="ready"),  # the same message
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
    assert [(each.offset, each.messages) for each in profile.refresh.flushes] == [
        (SECOND + 5, ((30,), None)),
        (7 * SECOND, ((31,), None)),
    ]
    assert profile.refresh.rate == 2 * SECOND / (8 * SECOND + 10 * SECOND - 2)
    assert profile.refresh.due(3) == 17 * SECOND
    with pytest.raises(ValueError, match="8000000000"):
        measure_profile(events, 8 * SECOND)
    with pytest.raises(TypeError):
        measure_profile(["an event"], SECOND)
