"""What is owed in the instant in which something ends: real processes with real signals, and the loop."""

import errno
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import tomllib
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path

import pytest
from support.large_configuration import large_configuration
from support.service_thread import free_port
from support.wire_messages import framed, joined

from bench.ready import Sizes, restarts
from granitespool.errors import InvalidInputError
from granitespool.net import config
from granitespool.net import listen_address as binding
from granitespool.net import log as logging
from granitespool.net.connection import LINGER_TIMEOUT
from granitespool.net.loop import IN, SECOND, Loop
from granitespool.net.service import Service

SERVE = [sys.executable, "-m", "granitespool", "serve", "--config"]
LONG = 60  # s: a bound for a machine that is busy, never a time that is waited


def configured(path, **more):
    path.write_text(json.dumps({**HERE, **more}))
    return path


@contextmanager
def process(path, **how):
    with subprocess.Popen([*SERVE, str(path)], stdout=subprocess.PIPE, stderr=subprocess.PIPE, **how) as it:
        try:
            yield it
        finally:
            if it.poll() is None:
                it.kill()


HERE = {**large_configuration(1, 3), "peer_listen": None}


@contextmanager
def serving(tmp_path, clock=None, **more):
    """A service in this thread, with where it listens and what it has logged so far."""
    path = tmp_path / f"log-{len(list(tmp_path.iterdir()))}"
    with open(path, "wb") as log:
        service = Service(config.load(str(configured(tmp_path / "config.json", **more))), log.fileno(), clock)
        service.where = "{}:{}".format(*service.streams.listener.getsockname())
        service.text = path.read_text
        try:
            yield service
        finally:
            if service.loop.wake_fd is not None:
                service.close()


def joins(sock, service, zone="z0"):
    sock.sendall(framed(json.dumps({"type": "joined", "node": 1, "locality": zone, "w": 1, "cold": True})))
    while 1 not in service.streams.proxies:
        service.turn(SECOND)


def event(it, name):
    """The next line of this event; the log's end is a failure."""
    for line in iter(it.stdout.readline, b""):
        told_of = json.loads(line)
        if told_of["event"] == name:
            return told_of
    raise AssertionError((name, it.stderr.read()))


def dialled(where):
    host, _, port = where.rpartition(":")
    sock = socket.create_connection((host, int(port)), LONG)
    sock.settimeout(LONG)
    return sock


def to_the_end(sock):
    """All bytes up to the end in good order; a reset is a failure."""
    data = b""
    while part := sock.recv(1 << 16):
        data += part
    return data


# Start


@pytest.fixture
def reading(tmp_path):
    """A process that is just reading its configuration, which it gets through a pipe."""
    path = tmp_path / "config.json"
    os.mkfifo(path)
    with process(path) as it, ExitStack() as stack:
        file = stack.enter_context(open(path, "w"))  # comes back once the process has opened it
        path.unlink()
        yield it, path, file


def test_a_configuration_that_is_written_while_the_former_is_read_is_read_too(reading):
    it, path, file = reading
    configured(path, discovery="127.0.0.1:11")
    it.send_signal(signal.SIGHUP)
    file.write(json.dumps(HERE))
    file.close()
    event(it, "serving")
    assert event(it, "reloaded")["discovery"] == "127.0.0.1:11"
    it.send_signal(signal.SIGTERM)
    assert it.wait(LONG) == 0 and it.stderr.read() == b""


def test_an_end_that_is_asked_for_while_the_configuration_is_read_is_one_in_good_order(reading):
    it, _, _ = reading
    it.send_signal(signal.SIGTERM)
    assert it.wait(LONG) == 0 and it.stderr.read() == b"" and it.stdout.read() == b""


def test_who_is_started_deaf_to_sighup_hears_it_once_it_serves(tmp_path):
    # The deploy file starts it so: while the interpreter starts, SIGHUP would end the process
    path = configured(tmp_path / "config.json")
    with process(path, preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_IGN)) as it:
        event(it, "serving")
        it.send_signal(signal.SIGHUP)
        event(it, "reloaded")
        it.send_signal(signal.SIGTERM)
        assert it.wait(LONG) == 0


class Quiet:
    def event(self, *_, **__):
        """A log that nobody reads."""

    def flush(self):
        """Nor is it written."""


def test_the_deploy_file_starts_the_process_deaf_to_sighup_and_gives_way_to_it():
    run = tomllib.loads((Path(__file__).parents[2] / "deploy/balancer.toml").read_text())["run"]
    asks = "import os, signal; print(signal.getsignal(signal.SIGHUP).name, os.getpid())"
    shown = run.replace(".venv/bin/python -m granitespool serve", f"{sys.executable} -c '{asks}'")
    with subprocess.Popen(["/bin/sh", "-c", shown], stdout=subprocess.PIPE, text=True) as it:
        assert shown != run and it.communicate(timeout=LONG)[0].split() == ["SIG_IGN", str(it.pid)]


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_an_address_that_the_former_process_still_holds_is_waited_for(monkeypatch, kind):
    with socket.socket(socket.AF_INET, kind) as former, socket.socket(socket.AF_INET, kind) as sock:
        former.bind(("127.0.0.1", 0))
        if kind == socket.SOCK_STREAM:
            former.listen()
        waits = []
        monkeypatch.setattr(binding.time, "sleep", lambda s: (waits.append(s), former.close()))
        where = former.getsockname()
        binding.bind(sock, where, Quiet())
        assert len(waits) == 1 and sock.getsockname() == where


def test_an_address_that_stays_taken_is_told(monkeypatch):
    with socket.create_server(("127.0.0.1", 0)) as other, socket.socket() as sock:
        now = [0.0]
        monkeypatch.setattr(binding.time, "sleep", lambda s: now.__setitem__(0, now[0] + s))
        monkeypatch.setattr(binding.time, "monotonic", lambda: now[0])
        with pytest.raises(OSError) as error:
            binding.bind(sock, other.getsockname(), Quiet())
        assert error.value.errno == errno.EADDRINUSE
        assert binding.IN_USE_TIMEOUT <= now[0] < 2 * binding.IN_USE_TIMEOUT


def test_a_successor_starts_while_the_former_process_still_serves(tmp_path):
    where = f"127.0.0.1:{free_port()}"
    path = configured(tmp_path / "config.json", listen=where)
    with process(path) as former:
        event(former, "serving")
        with process(path) as successor:
            assert event(successor, "address_in_use")["address"] == where
            former.send_signal(signal.SIGTERM)
            event(successor, "serving")
            with dialled(where) as sock:
                sock.sendall(framed('{"type":"ping"}'))
                assert b"pong" in sock.recv(100)
            successor.send_signal(signal.SIGTERM)
            assert successor.wait(LONG) == former.wait(LONG) == 0


def test_each_start_under_a_storm_of_joinings_and_silent_connections_is_ready():
    told_of = []
    took = restarts(Sizes(restarts=3, proxies=60, silent=40, backends=30), told_of.append)
    assert len(took) == 3 and all(each is not None for each in took), told_of
    assert not any("ended" in line for line in told_of), told_of


# SIGTERM


def test_a_stream_ends_in_good_order_after_what_was_ordered_though_bytes_of_it_were_not_read(tmp_path):
    # A close over bytes that were not read is a reset, and takes with it what the other has not read yet
    where = f"127.0.0.1:{free_port()}"
    with process(configured(tmp_path / "config.json", listen=where)) as it:
        event(it, "serving")
        with dialled(where) as sock:
            sock.sendall(framed(joined(1, "z0")))
            event(it, "joined")
            sock.sendall(framed('{"type":"ping"}'))
            while b"pong" not in sock.recv(1 << 16, socket.MSG_PEEK):
                pass  # it was written; it stays unread here
            it.send_signal(signal.SIGSTOP)

            def floods():  # far more than is read in one turn
                with suppress(OSError):
                    sock.sendall(framed('{"type":"odd"}') * 200_000)

            flood = threading.Thread(target=floods)
            flood.start()
            it.send_signal(signal.SIGTERM)
            it.send_signal(signal.SIGCONT)
            data = to_the_end(sock)
            sock.close()
            flood.join(LONG)
        assert b'"whole"' in data and b"pong" in data
        event(it, "stopped")
        assert it.wait(LONG) == 0 and it.stderr.read() == b""


def test_who_takes_nothing_keeps_the_end_up_for_a_moment_only(tmp_path):
    now, turns = [10**18], []
    with serving(tmp_path, lambda: now[0]) as service, dialled(service.where) as sock:
        joins(sock, service)
        real = service.loop.turn

        def turn(end_of_turn, wait):  # a second passes by the quarter of LINGER_TIMEOUT
            turns.append(wait)
            now[0] += LINGER_TIMEOUT // 4
            real(end_of_turn, 0)

        service.loop.turn = turn
        service.stop()
        service.run()
        assert 3 <= len(turns) <= 5 and LINGER_TIMEOUT < 0.35 * SECOND and '"stopped"' in service.text()


def test_a_second_asking_for_the_end_waits_for_nobody(tmp_path):
    with serving(tmp_path) as service, dialled(service.where) as sock:
        joins(sock, service)
        service.stop()
        service.stop()
        service.loop.turn = lambda *_: pytest.fail("it waits")
        service.run()


def test_the_orders_of_the_turn_that_sigterm_falls_into_are_written(tmp_path):
    with serving(tmp_path) as service, dialled(service.where) as sock:
        joins(sock, service)
        real = service.coordinator.tick

        def tick(now):
            service.stop()  # as a handler does, in the middle of it
            service.coordinator.set_entry(0, "s1", 7.5)
            return real(now)

        service.coordinator.tick = tick
        service.run()
        assert b'["s1",7.5]' in to_the_end(sock)


def test_one_part_that_fails_to_close_keeps_no_other_from_it(tmp_path):
    class Torn:
        def close(self):
            raise OSError("the disk is gone")

    def late():
        try:
            yield None, 0, None
        finally:
            raise OSError("nor this")

    with serving(tmp_path) as service:
        service.snapshotter = service.management = Torn()
        service.loop.spawn(late())
        service.close()
        assert service.loop.wake_fd is None and not service.loop.tasks
        with pytest.raises(ConnectionRefusedError):
            dialled(service.where)
        text = service.text()
    assert text.count('"event":"task_failed"') == 3 and "nor this" in text and '"stopped"' in text


def test_the_last_lines_wait_for_a_reader_that_is_slow(monkeypatch):
    monkeypatch.setattr(logging, "CLOSE_TIMEOUT", LONG)  # not on this machine's speed
    read, write = os.pipe()
    service = Service(config.parse_configuration(HERE), write)
    os.set_blocking(read, False)
    for _ in range(1000):
        service.log.event("internal_error", detail="a-word-" * 20)
    service.log.flush()
    assert service.log.unread  # the pipe is full now
    got = []

    def reader():
        os.set_blocking(read, True)
        while data := os.read(read, 1 << 16):
            got.append(data)

    thread = threading.Thread(target=reader)
    thread.start()
    service.close()
    os.close(write)
    thread.join(LONG)
    os.close(read)
    assert b"".join(got).splitlines()[-1].endswith(b'"event":"stopped","name":"t"}')


# The loop


def pairs(stack, number):
    return [[stack.enter_context(each) for each in socket.socketpair()] for _ in range(number)]


def test_an_event_for_a_descriptor_that_was_closed_and_given_to_another_in_that_turn_is_nobodys():
    loop, met = Loop(pytest.fail), []
    with ExitStack() as stack:
        (first, tells_first), (second, tells_second) = pairs(stack, 2)
        stack.callback(loop.close)

        def newcomer(sock):
            met.append((yield sock.fileno(), IN, None))

        def one(sock):
            yield sock.fileno(), IN, None
            number = second.fileno()
            loop.end(two)
            second.close()
            taken = [stack.enter_context(each) for each in socket.socketpair()]
            taken += [stack.enter_context(socket.socket()) for _ in range(8)]
            new = next(each for each in taken if each.fileno() == number)
            loop.spawn(newcomer(new))

        def other(sock):
            yield sock.fileno(), IN, None
            met.append("the ended one ran")

        loop.spawn(one(first))
        two = loop.spawn(other(second))
        tells_first.send(b"x")
        tells_second.send(b"x")
        loop.turn(lambda now: None, 0)
        assert met == []


def test_all_that_came_before_a_time_was_over_is_met_however_many_there_are():
    now, met = [10**18], []
    loop = Loop(pytest.fail, lambda: now[0])
    with ExitStack() as stack:
        stack.callback(loop.close)

        def waits(sock):
            met.append((yield sock.fileno(), IN, 10**18 + SECOND))

        both = pairs(stack, 400)
        for mine, _ in both:
            loop.spawn(waits(mine))
        real, late = loop.epoll, []

        class Stopped:  # the process is stopped with few events in its hand
            def poll(self, *words):
                if late:
                    return real.poll(*words)
                found = real.poll(0, 2)
                for _, other in both[2:]:
                    other.send(b"x")
                now[0] += 5 * SECOND
                late.append(True)
                return found

            def __getattr__(self, name):
                return getattr(real, name)

        for _, other in both[:2]:
            other.send(b"x")
        loop.epoll = Stopped()
        loop.turn(lambda now: None, SECOND)
        assert len(met) == 400 and all(met)


def test_a_task_that_fails_in_its_end_does_not_fail_who_ends_it():
    failed = []
    loop = Loop(failed.append)

    def torn():
        try:
            yield None, 0, None
        finally:
            raise KeyError("torn")

    def ends():
        loop.end(task)
        yield None, 0, None

    task = loop.spawn(torn())
    other = loop.spawn(ends())
    assert [type(error) for error in failed] == [KeyError] and other in loop.tasks and task not in loop.tasks
    loop.close()


def test_a_timer_of_a_wait_that_is_over_wakes_nobody():
    now, met = [10**18], []
    loop = Loop(pytest.fail, lambda: now[0])
    with ExitStack() as stack:
        stack.callback(loop.close)
        [(mine, other)] = pairs(stack, 1)

        def waits():
            met.append((yield mine.fileno(), IN, 10**18 + SECOND))
            met.append((yield mine.fileno(), 0, 10**18 + 9 * SECOND))

        loop.spawn(waits())
        other.send(b"x")
        loop.turn(lambda now: None, 0)
        now[0] += 2 * SECOND
        loop.turn(lambda now: None, 0)
        assert met == [IN]


# A message that is cut

JOINING = framed(joined(1, "z0"))


@pytest.mark.parametrize("how", ["close", "reset", "silence"])
def test_a_joining_that_is_cut_at_any_byte_joins_nobody_and_gives_all_back(tmp_path, how):
    now = [10**18]
    with serving(tmp_path, lambda: now[0]) as service, ExitStack() as stack:
        streams = service.streams
        for cut in range(len(JOINING)):
            sock = stack.enter_context(dialled(service.where))
            sock.sendall(JOINING[:cut])
            while not streams.connections:
                service.turn(SECOND)
            if how == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            if how == "silence":
                now[0] += 3 * SECOND
            else:
                sock.close()
            for _ in range(50):
                now[0] += LINGER_TIMEOUT // 2
                service.turn(SECOND // 100)
                if not streams.connections:
                    break
            assert not streams.connections and not streams.pending, cut
            assert streams.pool.in_use == 0 and not service.coordinator.updates.proxies, cut
        assert "failed" not in service.text()


# Settings of any deployment

NAMES = "zone name with spaces", "Zürich ☂", "type", "", "__class__", "a" * 500, "\u0000\n\"'{}%s", "None"


@pytest.mark.parametrize("name", NAMES)
def test_any_text_names_a_zone_and_a_class(tmp_path, name):
    now, data = [10**18], b""
    named = {
        "zones": [name],
        "classes": [{"name": name, "aim_us": 1000000, "worth": 1}],
        "family_info": {"proxy_count": 4, "admit": "fraction"},
    }
    with serving(tmp_path, lambda: now[0], settings=named) as service, dialled(service.where) as sock:
        joins(sock, service, name)
        sock.sendall(
            framed(
                json.dumps(
                    {"type": "usage", "node": 1, "route": name, "total": 5, "errors": 0, "interval": 1000}
                )
            )
        )
        sock.setblocking(False)
        for _ in range(20):
            now[0] += SECOND // 10
            service.turn(SECOND // 100)
            with suppress(BlockingIOError):
                data += sock.recv(1 << 16)
        assert b'"whole"' in data and service.coordinator.planner.overload.demand.get(name)
        text = service.text()
    assert not any(word in text for word in ("task_failed", "internal_error", "message_dropped"))


@pytest.mark.parametrize(
    "change, words",
    [
        ({"settings": {"zones": ["n", ["m"]]}}, "contain the zone .* not a string"),
        ({"settings": {"zones": [None]}}, "contain the zone None, which is not a string"),
        ({"settings": {"zones": ["n", "n"]}}, "the zone 'n' more than once"),
        ({"settings": {"zones": ["n"], "classes": [{}]}}, "contain the class None, which is not a string"),
        ({"settings": {"zones": ["n"], "classes": [{"name": {}}]}}, "contain the class .* not a string"),
        (
            {"settings": {"zones": ["n"], "classes": [{"name": "a"}, {"name": "a"}]}},
            "the class 'a' more than once",
        ),
        ({"settings": {"zones": ["n"], "family_info": {"most_waiting": 0}}}, "a channel backlog limit of 0"),
        ({"limits": {"sockets": 0}}, "the limits are too low"),
        ({"limits": {"sockets": 24}}, "the limits are too low"),
        ({"limits": {"memory_mb": 0}}, "the limits are too low"),
    ],
)
def test_what_cannot_be_served_is_refused_in_one_sentence(change, words):
    with pytest.raises(InvalidInputError, match=words):
        config.parse_configuration({**large_configuration(1, 3), **change})


def test_a_reload_takes_another_deployments_settings_whole_and_names_what_waits(tmp_path):
    channel = {"egress_per_s": 50.0, "most_waiting": 100.0, "proxy_count": 9}
    there = {
        **HERE,
        "settings": {
            "zones": ["x", "y"],
            "classes": [{"name": "other"}],
            "balancers": 3,
            "family_info": channel,
        },
    }
    with serving(tmp_path) as service, serving(tmp_path) as beside:
        service.read_configuration = lambda: config.parse_configuration(there)
        service.reload()
        service.turn(0)
        beside.turn(0)
        planner, other = service.coordinator.planner, beside.coordinator.planner
        assert service.reconfiguration.restart_required == ["classes"]
        assert service.coordinator.classes == ["a"]
        names, others_names = service.streams.names, beside.streams.names
        assert (planner.in_flight.rate, planner.in_flight.limit, names.zones) == (50, 100, {"x", "y"})
        # What the other service in this process holds is its own
        assert (other.in_flight.rate, other.in_flight.limit) == (20000, 400000)
        assert others_names.zones == {"z0", "z1", "z2"} and others_names.proxies_expected == 8192
