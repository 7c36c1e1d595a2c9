"""Starts, stops, signals and interrupted messages, with real processes and with the event loop."""

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
TIMEOUT = 60  # s: bound for a busy machine; no test waits this long


def write_configuration(path, **more):
    """Write a configuration file and return its path."""
    path.write_text(json.dumps({**CONFIGURATION, **more}))
    return path


@contextmanager
def running_process(path, **options):
    """Run `granitespool serve` with a configuration file; kill the process at the end if it still runs."""
    with subprocess.Popen(
        [*SERVE, str(path)], stdout=subprocess.PIPE, stderr=subprocess.PIPE, **options
    ) as process:
        try:
            yield process
        finally:
            if process.poll() is None:
                process.kill()


CONFIGURATION = {**large_configuration(1, 3), "peer_listen": None}


@contextmanager
def service_in_thread(tmp_path, clock=None, **more):
    """Create a service in this thread; `address` is its listener, `log_text` returns its log so far."""
    path = tmp_path / f"log-{len(list(tmp_path.iterdir()))}"
    with open(path, "wb") as log:
        service = Service(
            config.load(str(write_configuration(tmp_path / "config.json", **more))), log.fileno(), clock
        )
        service.address = "{}:{}".format(*service.streams.listener.getsockname())
        service.log_text = path.read_text
        try:
            yield service
        finally:
            if service.loop.wake_fd is not None:
                service.close()


def join(sock, service, zone="z0"):
    """Join as proxy 1 and run the service until it has joined."""
    sock.sendall(framed(json.dumps({"type": "joined", "node": 1, "locality": zone, "w": 1, "cold": True})))
    while 1 not in service.streams.proxies:
        service.turn(SECOND)


def wait_for_event(process, name):
    """Return the next log line of this event; fail at the end of the log."""
    for line in iter(process.stdout.readline, b""):
        fields = json.loads(line)
        if fields["event"] == name:
            return fields
    raise AssertionError((name, process.stderr.read()))


def connect(address):
    """Return a socket that is connected to an address."""
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), TIMEOUT)
    sock.settimeout(TIMEOUT)
    return sock


def receive_all(sock):
    """Return all bytes up to the end of the stream; a reset raises an error."""
    data = b""
    while chunk := sock.recv(1 << 16):
        data += chunk
    return data


# Starting


@pytest.fixture
def reading_process(tmp_path):
    """Yield a process that is reading its configuration from a pipe, the path and the open pipe."""
    path = tmp_path / "config.json"
    os.mkfifo(path)
    with running_process(path) as process, ExitStack() as stack:
        file = stack.enter_context(open(path, "w"))  # returns when the process has opened it
        path.unlink()
        yield process, path, file


def test_a_configuration_that_is_changed_while_the_former_one_is_read_is_read_after_it(reading_process):
    process, path, file = reading_process
    write_configuration(path, discovery="127.0.0.1:11")
    process.send_signal(signal.SIGHUP)
    file.write(json.dumps(CONFIGURATION))
    file.close()
    wait_for_event(process, "serving")
    assert wait_for_event(process, "reloaded")["discovery"] == "127.0.0.1:11"
    process.send_signal(signal.SIGTERM)
    assert process.wait(TIMEOUT) == 0 and process.stderr.read() == b""


def test_sigterm_while_the_configuration_is_read_ends_the_process_without_an_error(reading_process):
    process, _, _ = reading_process
    process.send_signal(signal.SIGTERM)
    assert process.wait(TIMEOUT) == 0 and process.stderr.read() == b"" and process.stdout.read() == b""


def test_a_process_started_with_sighup_ignored_handles_it_once_it_serves(tmp_path):
    # The deploy file ignores SIGHUP because the signal would end the process while the interpreter starts
    path = write_configuration(tmp_path / "config.json")
    with running_process(path, preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_IGN)) as process:
        wait_for_event(process, "serving")
        process.send_signal(signal.SIGHUP)
        wait_for_event(process, "reloaded")
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT) == 0


class NullLog:
    """A log that discards everything."""

    def event(self, *_, **__):
        """Discard an event."""

    def flush(self):
        """Do nothing."""


def test_the_deploy_file_ignores_sighup_and_replaces_the_shell_by_the_process():
    run = tomllib.loads((Path(__file__).parents[2] / "deploy/balancer.toml").read_text())["run"]
    program = "import os, signal; print(signal.getsignal(signal.SIGHUP).name, os.getpid())"
    command = run.replace(".venv/bin/python -m granitespool serve", f"{sys.executable} -c '{program}'")
    with subprocess.Popen(["/bin/sh", "-c", command], stdout=subprocess.PIPE, text=True) as process:
        assert command != run and process.communicate(timeout=TIMEOUT)[0].split() == [
            "SIG_IGN",
            str(process.pid),
        ]


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_binding_waits_for_an_address_that_the_former_process_still_uses(monkeypatch, kind):
    with socket.socket(socket.AF_INET, kind) as former, socket.socket(socket.AF_INET, kind) as sock:
        former.bind(("127.0.0.1", 0))
        if kind == socket.SOCK_STREAM:
            former.listen()
        waits = []
        monkeypatch.setattr(binding.time, "sleep", lambda seconds: (waits.append(seconds), former.close()))
        address = former.getsockname()
        binding.bind(sock, address, NullLog())
        assert len(waits) == 1 and sock.getsockname() == address


def test_an_address_that_stays_in_use_raises_an_error(monkeypatch):
    with socket.create_server(("127.0.0.1", 0)) as other, socket.socket() as sock:
        now = [0.0]
        monkeypatch.setattr(binding.time, "sleep", lambda seconds: now.__setitem__(0, now[0] + seconds))
        monkeypatch.setattr(binding.time, "monotonic", lambda: now[0])
        with pytest.raises(OSError) as error:
            binding.bind(sock, other.getsockname(), NullLog())
        assert error.value.errno == errno.EADDRINUSE
        assert binding.IN_USE_TIMEOUT <= now[0] < 2 * binding.IN_USE_TIMEOUT


def test_a_successor_starts_while_the_former_process_still_serves(tmp_path):
    address = f"127.0.0.1:{free_port()}"
    path = write_configuration(tmp_path / "config.json", listen=address)
    with running_process(path) as former:
        wait_for_event(former, "serving")
        with running_process(path) as successor:
            assert wait_for_event(successor, "address_in_use")["address"] == address
            former.send_signal(signal.SIGTERM)
            wait_for_event(successor, "serving")
            with connect(address) as sock:
                sock.sendall(framed('{"type":"ping"}'))
                assert b"pong" in sock.recv(100)
            successor.send_signal(signal.SIGTERM)
            assert successor.wait(TIMEOUT) == former.wait(TIMEOUT) == 0


def test_each_start_with_many_joining_proxies_and_silent_connections_becomes_ready():
    lines = []
    durations = restarts(Sizes(restarts=3, proxies=60, silent=40, backends=30), lines.append)
    assert len(durations) == 3 and all(duration is not None for duration in durations), lines
    assert not any("ended" in line for line in lines), lines


# Stopping


def test_a_stream_is_closed_without_a_reset_though_the_service_has_not_read_all_of_it(tmp_path):
    # Closing a socket with unread bytes resets it, and the peer loses the data that it has not read yet
    address = f"127.0.0.1:{free_port()}"
    with running_process(write_configuration(tmp_path / "config.json", listen=address)) as process:
        wait_for_event(process, "serving")
        with connect(address) as sock:
            sock.sendall(framed(joined(1, "z0")))
            wait_for_event(process, "joined")
            sock.sendall(framed('{"type":"ping"}'))
            while b"pong" not in sock.recv(1 << 16, socket.MSG_PEEK):
                pass  # the pong has arrived and stays unread here
            process.send_signal(signal.SIGSTOP)

            def send_flood():  # far more than is read in one turn
                with suppress(OSError):
                    sock.sendall(framed('{"type":"odd"}') * 200_000)

            flood = threading.Thread(target=send_flood)
            flood.start()
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGCONT)
            data = receive_all(sock)
            sock.close()
            flood.join(TIMEOUT)
        assert b'"whole"' in data and b"pong" in data
        wait_for_event(process, "stopped")
        assert process.wait(TIMEOUT) == 0 and process.stderr.read() == b""


def test_a_proxy_that_does_not_read_delays_the_stop_by_the_linger_timeout_at_most(tmp_path):
    now, turns = [10**18], []
    with service_in_thread(tmp_path, lambda: now[0]) as service, connect(service.address) as sock:
        join(sock, service)
        real = service.loop.turn

        def turn(end_of_turn, wait):  # time passes in quarters of LINGER_TIMEOUT
            turns.append(wait)
            now[0] += LINGER_TIMEOUT // 4
            real(end_of_turn, 0)

        service.loop.turn = turn
        service.stop()
        service.run()
        assert 3 <= len(turns) <= 5 and LINGER_TIMEOUT < 0.35 * SECOND and '"stopped"' in service.log_text()


def test_a_second_stop_does_not_wait_for_connections(tmp_path):
    with service_in_thread(tmp_path) as service, connect(service.address) as sock:
        join(sock, service)
        service.stop()
        service.stop()
        service.loop.turn = lambda *_: pytest.fail("the loop has run")
        service.run()


def test_the_updates_of_the_turn_in_which_sigterm_arrives_are_written(tmp_path):
    with service_in_thread(tmp_path) as service, connect(service.address) as sock:
        join(sock, service)
        real = service.coordinator.tick

        def tick(now):
            service.stop()  # as the signal handler does, in the middle of the turn
            service.coordinator.set_entry(0, "s1", 7.5)
            return real(now)

        service.coordinator.tick = tick
        service.run()
        assert b'["s1",7.5]' in receive_all(sock)


def test_a_part_that_fails_to_close_does_not_keep_the_others_open(tmp_path):
    class FailingPart:
        def close(self):
            raise OSError("the disk is gone")

    def failing_task():
        try:
            yield None, 0, None
        finally:
            raise OSError("the task cannot end")

    with service_in_thread(tmp_path) as service:
        service.snapshotter = service.management = FailingPart()
        service.loop.spawn(failing_task())
        service.close()
        assert service.loop.wake_fd is None and not service.loop.tasks
        with pytest.raises(ConnectionRefusedError):
            connect(service.address)
        text = service.log_text()
    assert text.count('"event":"task_failed"') == 3 and "the task cannot end" in text and '"stopped"' in text


def test_closing_waits_until_a_slow_reader_has_read_the_last_log_lines(monkeypatch):
    monkeypatch.setattr(logging, "CLOSE_TIMEOUT", TIMEOUT)  # not to depend on the machine's speed
    read, write = os.pipe()
    service = Service(config.parse_configuration(CONFIGURATION), write)
    os.set_blocking(read, False)
    for _ in range(1000):
        service.log.event("internal_error", detail="a-word-" * 20)
    service.log.flush()
    assert service.log.unread  # the pipe is full now
    received = []

    def read_log():
        os.set_blocking(read, True)
        while data := os.read(read, 1 << 16):
            received.append(data)

    thread = threading.Thread(target=read_log)
    thread.start()
    service.close()
    os.close(write)
    thread.join(TIMEOUT)
    os.close(read)
    assert b"".join(received).splitlines()[-1].endswith(b'"event":"stopped","name":"t"}')


# The event loop


def socket_pairs(stack, number):
    return [[stack.enter_context(sock) for sock in socket.socketpair()] for _ in range(number)]


def test_an_event_of_a_descriptor_that_was_closed_and_reused_in_that_turn_wakes_no_task():
    loop, met = Loop(pytest.fail), []
    with ExitStack() as stack:
        (first, first_peer), (second, second_peer) = socket_pairs(stack, 2)
        stack.callback(loop.close)

        def new_task(sock):
            met.append((yield sock.fileno(), IN, None))

        def ending_task(sock):
            yield sock.fileno(), IN, None
            number = second.fileno()
            loop.end(second_task)
            second.close()
            opened = [stack.enter_context(sock) for sock in socket.socketpair()]
            opened += [stack.enter_context(socket.socket()) for _ in range(8)]
            new = next(sock for sock in opened if sock.fileno() == number)
            loop.spawn(new_task(new))

        def ended_task(sock):
            yield sock.fileno(), IN, None
            met.append("the ended task ran")

        loop.spawn(ending_task(first))
        second_task = loop.spawn(ended_task(second))
        first_peer.send(b"x")
        second_peer.send(b"x")
        loop.turn(lambda now: None, 0)
        assert met == []


def test_all_events_that_arrived_before_a_timeout_are_handled_whatever_their_number():
    now, met = [10**18], []
    loop = Loop(pytest.fail, lambda: now[0])
    with ExitStack() as stack:
        stack.callback(loop.close)

        def waits(sock):
            met.append((yield sock.fileno(), IN, 10**18 + SECOND))

        pairs = socket_pairs(stack, 400)
        for mine, _ in pairs:
            loop.spawn(waits(mine))
        real, late = loop.epoll, []

        class StoppedPoll:  # the process is stopped after a poll that has returned two events
            def poll(self, *arguments):
                if late:
                    return real.poll(*arguments)
                found = real.poll(0, 2)
                for _, other in pairs[2:]:
                    other.send(b"x")
                now[0] += 5 * SECOND
                late.append(True)
                return found

            def __getattr__(self, name):
                return getattr(real, name)

        for _, other in pairs[:2]:
            other.send(b"x")
        loop.epoll = StoppedPoll()
        loop.turn(lambda now: None, SECOND)
        assert len(met) == 400 and all(met)


def test_a_task_that_fails_while_it_is_ended_does_not_fail_the_task_that_ends_it():
    failed = []
    loop = Loop(failed.append)

    def failing_task():
        try:
            yield None, 0, None
        finally:
            raise KeyError("failing")

    def ending_task():
        loop.end(task)
        yield None, 0, None

    task = loop.spawn(failing_task())
    other = loop.spawn(ending_task())
    assert [type(error) for error in failed] == [KeyError] and other in loop.tasks and task not in loop.tasks
    loop.close()


def test_the_timer_of_a_finished_wait_wakes_no_task():
    now, met = [10**18], []
    loop = Loop(pytest.fail, lambda: now[0])
    with ExitStack() as stack:
        stack.callback(loop.close)
        [(mine, other)] = socket_pairs(stack, 1)

        def waits():
            met.append((yield mine.fileno(), IN, 10**18 + SECOND))
            met.append((yield mine.fileno(), 0, 10**18 + 9 * SECOND))

        loop.spawn(waits())
        other.send(b"x")
        loop.turn(lambda now: None, 0)
        now[0] += 2 * SECOND
        loop.turn(lambda now: None, 0)
        assert met == [IN]


# Interrupted messages

JOINED_MESSAGE = framed(joined(1, "z0"))


@pytest.mark.parametrize("interruption", ["close", "reset", "silence"])
def test_a_join_that_is_cut_at_any_byte_joins_no_proxy_and_releases_everything(tmp_path, interruption):
    now = [10**18]
    with service_in_thread(tmp_path, lambda: now[0]) as service, ExitStack() as stack:
        streams = service.streams
        for cut in range(len(JOINED_MESSAGE)):
            sock = stack.enter_context(connect(service.address))
            sock.sendall(JOINED_MESSAGE[:cut])
            while not streams.connections:
                service.turn(SECOND)
            if interruption == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            if interruption == "silence":
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
        assert "failed" not in service.log_text()


# Settings of different deployments

NAMES = "zone name with spaces", "Zürich ☂", "type", "", "__class__", "a" * 500, "\u0000\n\"'{}%s", "None"


@pytest.mark.parametrize("name", NAMES)
def test_any_text_is_accepted_as_the_name_of_a_zone_and_a_class(tmp_path, name):
    now, data = [10**18], b""
    names_settings = {
        "zones": [name],
        "classes": [{"name": name, "aim_us": 1000000, "worth": 1}],
        "family_info": {"proxy_count": 4, "admit": "fraction"},
    }
    with (
        service_in_thread(tmp_path, lambda: now[0], settings=names_settings) as service,
        connect(service.address) as sock,
    ):
        join(sock, service, name)
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
        text = service.log_text()
    assert not any(word in text for word in ("task_failed", "internal_error", "message_dropped"))


@pytest.mark.parametrize(
    "change, expected_text",
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
def test_an_invalid_configuration_is_rejected_in_one_sentence(change, expected_text):
    with pytest.raises(InvalidInputError, match=expected_text):
        config.parse_configuration({**large_configuration(1, 3), **change})


def test_a_reload_applies_the_settings_of_another_deployment_and_lists_what_requires_a_restart(tmp_path):
    channel = {"egress_per_s": 50.0, "most_waiting": 100.0, "proxy_count": 9}
    other_configuration = {
        **CONFIGURATION,
        "settings": {
            "zones": ["x", "y"],
            "classes": [{"name": "other"}],
            "balancers": 3,
            "family_info": channel,
        },
    }
    with service_in_thread(tmp_path) as service, service_in_thread(tmp_path) as other_service:
        service.read_configuration = lambda: config.parse_configuration(other_configuration)
        service.reload()
        service.turn(0)
        other_service.turn(0)
        planner, other = service.coordinator.planner, other_service.coordinator.planner
        assert service.reconfiguration.restart_required == ["classes"]
        assert service.coordinator.classes == ["a"]
        names, others_names = service.streams.names, other_service.streams.names
        assert (planner.in_flight.rate, planner.in_flight.limit, names.zones) == (50, 100, {"x", "y"})
        # The other service in this process keeps its own settings
        assert (other.in_flight.rate, other.in_flight.limit) == (20000, 400000)
        assert others_names.zones == {"z0", "z1", "z2"} and others_names.proxies_expected == 8192
