"""A whole service on loopback in one thread, on a clock of the test's, with stand-ins for all others.

`ServiceHarness` is what the tests use; its bases hold what belongs to one kind of stand-in each. A step ends
with a turn of the service; an expectation waits some turns for what it expects."""

import copy
import json
import os
import resource
import select
import socket
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from types import SimpleNamespace

from granitespool.errors import InvalidInputError
from granitespool.net.config import quotas
from granitespool.net.service import Service
from granitespool.units import MILLISECOND, SECOND
from support.records import settings_of

EPOCH = 10**18  # ns: where the clock begins
TURNS_MAX = 400  # turns that an expectation is waited for
TURN_WAIT = 5 * MILLISECOND  # ns that each of them waits for events
STEP = SECOND // 10  # ns of a step of the clock
READ_SIZE = 1 << 20  # bytes
HEALTHY = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nutil=0.25"
CLOSED = "<end>"  # what stands for the end of a connection
LOOPBACK = ("127.0.0.1", 0)


def framed(text: str) -> bytes:
    """A message of the streams, of its JSON text."""
    body = text.encode()
    return len(body).to_bytes(4, "little") + body


def json_text(message: str | dict) -> str:
    """The JSON text of a message; text as it is."""
    return message if isinstance(message, str) else json.dumps(message, separators=(",", ":"))


def accepted(listener: socket.socket) -> socket.socket | None:
    """A connection that waits, or None where none does or no descriptor is free."""
    with suppress(OSError):
        sock = listener.accept()[0]
        sock.setblocking(False)
        return sock
    return None


def received(sock: socket.socket) -> str:
    """What stands there to be read, `CLOSED` for the end of the connection."""
    try:
        return sock.recv(READ_SIZE).decode("latin1") or CLOSED
    except BlockingIOError:
        return ""
    except OSError:
        return CLOSED


class FullSocket:
    """A socket whose other side takes nothing."""

    error: type[Exception] = BlockingIOError

    def __init__(self, sock):
        self.sock = sock

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def send(self, data):
        raise self.error


class Core:
    """The service, its clock, its configuration and its log."""

    def __init__(self):
        self.now = EPOCH
        self.service: Service | None = None
        self.settings = {
            "zones": ["n", "s"],
            "classes": [],
            "proxies_expected": 600,
            "health_checks_allowed": False,
        }
        self.limits: dict[str, int] = {}
        self.listed: list[dict] = []  # the list that the service starts with
        self.discovery = socket.create_server(LOOPBACK)
        self.discovery.setblocking(False)
        self.peer, self.unknown = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
        for sock in (self.peer, self.unknown):
            sock.bind(LOOPBACK)
        self.pipe = os.pipe()
        os.set_blocking(self.pipe[0], False)
        self.log = ""
        self.is_log_read = True
        self.unreadable: str | None = None  # why the configuration cannot be read
        self.descriptor_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.fillers: list[int] = []

    def begin(self) -> Service:
        """The service, made at the first call."""
        if self.service is None:
            self.service = Service(self.config(), self.pipe[1], lambda: self.now, self.reread)
        return self.service

    def config(self) -> dict:
        """The configuration as it is now."""
        return {
            "name": "t",
            "listen": LOOPBACK,
            "discovery": self.discovery.getsockname(),
            "seed": 1,
            **quotas(self.limits),
            "peer_listen": LOOPBACK,
            "peers": [self.peer.getsockname()],
            "peers_all": self.peer.getsockname(),
            "known": {"index": 7, "endpoints": self.listed},
            "settings": settings_of(copy.deepcopy(self.settings)),
        }

    def reread(self) -> dict:
        """The configuration as a reload reads it."""
        if self.unreadable:
            raise InvalidInputError(self.unreadable)
        return self.config()

    def turn(self, wait: int = 0) -> None:
        """A turn of the service, and of all stand-ins."""
        self.begin().turn(wait)
        self.read_log()

    def read_log(self) -> None:
        if self.is_log_read:
            with suppress(BlockingIOError):
                self.log += os.read(self.pipe[0], READ_SIZE).decode()

    def until(self, check: Callable[[], bool], expected: object) -> None:
        """Turns until something holds."""
        for _ in range(TURNS_MAX):
            if check():
                return
            self.turn(TURN_WAIT)
        assert check(), (expected, self.log[-3000:])

    def advance_to(self, seconds: float) -> None:
        """Lets time pass up to so many seconds after the start."""
        self.turn()
        end = EPOCH + round(seconds * SECOND)
        while self.now < end:
            self.now = min(self.now + STEP, end)
            self.turn()

    def advance(self, seconds: float) -> None:
        """Lets so many seconds pass."""
        self.advance_to((self.now - EPOCH) / SECOND + seconds)

    @contextmanager
    def at_once(self) -> Iterator[None]:
        """What is done within is done before the process runs again."""
        real, self.turn = self.turn, lambda *_: None
        try:
            yield
        finally:
            self.turn = real
        self.turn()

    def set_settings(self, **settings) -> None:
        """Settings, before the first step that needs the service."""
        self.settings.update(settings)

    def set_limits(self, **limits) -> None:
        """The platform's limits: sockets, memory_mb."""
        self.limits = limits

    def add_class(self, name: str, effect: str, latency_objective: int, priority_weight: float) -> None:
        """A request class; the objective in ns."""
        self.settings["classes"].append(
            {
                "name": name,
                "effect": effect,
                "latency_objective": latency_objective,
                "timeout": 3 * latency_objective,
                "priority_weight": priority_weight,
            }
        )

    def reload(self, **settings) -> None:
        """SIGHUP, with a configuration that has these settings."""
        self.unreadable = None
        self.set_settings(**settings)
        self.service.reload()
        self.turn()

    def reload_unreadable(self) -> None:
        """SIGHUP, with a configuration that cannot be read."""
        self.unreadable = "it is wrong"
        self.service.reload()
        self.turn()

    def act(self, action: str, *arguments) -> None:
        """An action of the planner."""
        getattr(self.begin().coordinator, action)(*arguments)
        self.turn()

    # The log

    def expect_logged(self, text: str) -> None:
        self.until(lambda: text in self.log, text)

    def expect_not_logged(self, text: str) -> None:
        assert text not in self.log, self.log

    def expect_dropped(self, number: int) -> None:
        """So many messages were dropped, by the log."""
        self.until(lambda: self.log.count('"message_dropped"') == number, number)

    def stop_log_reader(self) -> None:
        self.is_log_read = False

    def resume_log_reader(self) -> None:
        self.is_log_read = True

    def log_internal_errors(self, number: int) -> None:
        """So many messages of the planner."""
        for _ in range(number):
            self.act("log", "a-word-" * 20)

    # The process

    def limit_descriptors(self, more: int) -> None:
        """The process may open so many descriptors more."""
        top = max(int(fd) for fd in os.listdir("/proc/self/fd"))
        resource.setrlimit(resource.RLIMIT_NOFILE, (top + 1, self.descriptor_limit[1]))
        with suppress(OSError):
            while True:
                self.fillers.append(os.open("/dev/null", os.O_RDONLY))
        for _ in range(more):
            os.close(self.fillers.pop())

    def lift_descriptor_limit(self) -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, self.descriptor_limit)
        while self.fillers:
            os.close(self.fillers.pop())

    def stop_with_events(self, seconds: float, meanwhile: Callable[[], None]) -> None:
        """The process is stopped so long with events in hand, and something happens meanwhile."""
        real = self.service.loop.epoll

        def poll(*_):
            self.service.loop.epoll, found = real, real.poll(0)
            meanwhile()
            self.now += round(seconds * SECOND)
            return found

        self.service.loop.epoll = SimpleNamespace(poll=poll)
        self.service.turn(0)
        assert self.service.loop.epoll is real
        self.turn()

    def stall(self, seconds: float) -> None:
        """The process is stopped so long, and its wait for events comes back empty."""
        real = self.service.loop.epoll
        self.now += round(seconds * SECOND)
        empty = [[]]
        self.service.loop.epoll = SimpleNamespace(
            poll=lambda *words: empty.pop() if empty else real.poll(*words),
            register=real.register,
            modify=real.modify,
            unregister=real.unregister,
            close=real.close,
        )
        self.service.turn(0)
        self.service.loop.epoll = real

    def leave_buffers(self, number: int) -> None:
        """So many receive buffers are left."""
        pool = self.service.streams.pool
        pool.limit = pool.taken + number

    def expect_buffers_at_most(self, number: int) -> None:
        assert self.service.streams.pool.taken <= number


class Backends(Core):
    """Backends that listen, and their answers to health checks."""

    def __init__(self):
        super().__init__()
        self.answers: dict[str, tuple[socket.socket, str]] = {}  # backend -> its listener, its answer
        self.addresses: dict[str, str] = {}  # backend -> "host:port"
        self.health_checks: list[tuple[socket.socket, str]] = []  # that are not answered yet

    def turn(self, wait: int = 0) -> None:
        super().turn(wait)
        for backend, (listener, _) in self.answers.items():
            if sock := accepted(listener):
                self.health_checks.append((sock, backend))
        for sock, backend in list(self.health_checks):
            if backend in self.answers and self.answers[backend][1] and self.received_of(backend, sock):
                sock.sendall(self.answers[backend][1].encode())
                sock.close()
                self.health_checks.remove((sock, backend))

    def received_of(self, owner: str, sock: socket.socket) -> str:
        """What a stand-in's connection has received; a place to note it."""
        return received(sock)

    def list_backends(self, **zones: str) -> None:
        """Backends that listen, by zone, in the list that the service starts with."""
        for name, zone in zones.items():
            listener = socket.create_server(LOOPBACK)
            listener.setblocking(False)
            self.answers[name] = listener, HEALTHY
            self.addresses[name] = "{}:{}".format(*listener.getsockname())
            self.listed.append(
                {
                    "name": name,
                    "address": self.addresses[name],
                    "zone": zone,
                    "type": "m",
                    "group": 0,
                    "status": "ready",
                    "weight": 1.0,
                    "since_ms": 0,
                }
            )

    def set_health_answer(self, backend: str, answer: str = "") -> None:
        """What a backend's health checks get; nothing is silence."""
        self.answers[backend] = self.answers[backend][0], answer

    def stop_backend(self, backend: str) -> None:
        """It listens no more."""
        self.answers.pop(backend)[0].close()

    def expect_health_check(self, backend: str) -> None:
        """A health check of it has asked."""
        self.until(
            lambda: any(
                name == backend and select.select([sock], [], [], 0)[0] for sock, name in self.health_checks
            ),
            backend,
        )

    def answer_late(self, seconds: float, backend: str, answer: str) -> None:
        """The process is stopped so long with events in hand; a health check's answer comes meanwhile."""
        [sock] = [sock for sock, name in self.health_checks if name == backend]
        self.stop_with_events(seconds, lambda: sock.sendall(answer.encode()))

    def expect_health_check_address(self, backend: str, of: str) -> None:
        """A backend is checked at another one's address."""
        addresses = self.service.discovery.addresses
        assert addresses[backend] == addresses[of]

    def expect_unreported(self, backend: str) -> None:
        """Nothing was counted of a backend."""
        found = self.service.coordinator.planner.fleet.backends[backend]
        assert found.recent_attempts == 0
        assert not any(link.attempts for link in found.links.values())

    def expect_attempts(self, backend: str, number: int) -> None:
        """So many attempts were counted of a backend."""
        backends = self.service.coordinator.planner.fleet.backends
        self.until(lambda: backends[backend].recent_attempts == number, number)


class Watch(Backends):
    """Discovery's side of the watch."""

    def __init__(self):
        super().__init__()
        self.watches: list[socket.socket] = []
        self.asked = ""  # of discovery, since it was last looked at

    def turn(self, wait: int = 0) -> None:
        super().turn(wait)
        if sock := accepted(self.discovery):
            self.watches.append(sock)
        for sock in self.watches:
            self.asked += self.received_of("discovery", sock)

    def move_discovery(self) -> None:
        """Discovery's next address in the configuration; the old one takes no more."""
        self.discovery.close()
        self.discovery = socket.create_server(LOOPBACK)
        self.discovery.setblocking(False)

    def accept_watch(self) -> None:
        self.send_raw_list("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def send_raw_list(self, text: str) -> None:
        """Discovery's bytes on the latest watch."""
        self.until(lambda: bool(self.watches), "a watch")
        self.watches[-1].sendall(text.encode())
        self.turn()

    def send_list(self, message: str | dict) -> None:
        """A line of the list; `@NAME` stands for a backend's address."""
        self.send_list_unread(message)
        self.turn()

    def send_list_unread(self, message: str | dict) -> None:
        """The same, not read yet."""
        line = json_text(message) + "\n"
        for name, address in self.addresses.items():
            line = line.replace(f"@{name}", address)
        self.watches[-1].sendall(f"{len(line):x}\r\n{line}\r\n".encode())

    def drip_list(self, seconds: float, text: str) -> None:
        """Discovery sends a byte of this each half a second, over and over, as chunks."""
        data = text.encode() * 100
        for byte in data[: round(seconds * 2)]:
            with suppress(OSError):
                self.watches[-1].sendall(b"1\r\n%c\r\n" % byte)
            self.advance(0.5)

    def reset_watch(self) -> None:
        self.watches.pop().close()
        self.turn()

    def expect_asked(self, text: str) -> None:
        """Discovery was asked this since it was last looked at."""
        self.until(lambda: text in self.asked, text)
        self.asked = ""

    def expect_not_asked(self) -> None:
        assert "GET" not in self.asked, self.asked


class Peers(Watch):
    """Proxies, collectors, connections that never join, and other coordinators."""

    def __init__(self):
        super().__init__()
        self.connections: dict[str, socket.socket] = {}
        self.received: dict[str, str] = defaultdict(str)
        self.not_reading: dict[str, object] = {}

    def turn(self, wait: int = 0) -> None:
        super().turn(wait)
        for name, sock in self.connections.items():
            if not self.received[name].endswith(CLOSED):
                self.received[name] += self.received_of(name, sock)

    def connect(self, name: str) -> None:
        sock = socket.create_connection(self.begin().streams.listener.getsockname())
        sock.setblocking(False)
        self.connections[name] = sock
        self.turn()

    def connect_many(self, name: str, number: int) -> None:
        """Connections NAME0, NAME1, ..."""
        for each in range(number):
            self.connect(f"{name}{each}")

    def join_proxy(self, name: str, proxy: int, zone: str) -> None:
        self.connect(name)
        self.say(name, self.joining(proxy, zone))

    @staticmethod
    def joining(proxy: int, zone: str) -> str:
        return f'{{"type":"joined","node":{proxy},"locality":"{zone}","w":5.0,"cold":true}}'

    def join_before_accept(self, name: str, proxy: int, zone: str) -> None:
        """Its joining is sent before its connection is accepted."""
        sock = socket.create_connection(self.begin().streams.listener.getsockname())
        sock.sendall(framed(self.joining(proxy, zone)))
        sock.setblocking(False)
        self.connections[name] = sock
        self.turn()

    def join_all_at_once(self, number: int, zone: str) -> None:
        """Proxies t0, t1, ... before any connection is accepted."""
        with self.at_once():
            for proxy in range(number):
                self.join_before_accept(f"t{proxy}", proxy, zone)

    def send(self, name: str, data: bytes) -> None:
        view = memoryview(data)
        for _ in range(TURNS_MAX * 50):
            try:
                view = view[self.connections[name].send(view) :]
            except BlockingIOError:
                pass
            except ConnectionError:
                return
            if not view:
                return
            self.turn(TURN_WAIT)
        assert not view, "not taken"

    def say(self, name: str, message: str | dict) -> None:
        """Sends one message."""
        self.send(name, framed(json_text(message)))
        self.turn()

    def say_bytewise(self, name: str, message: str | dict) -> None:
        """The same, a byte a turn."""
        for byte in framed(json_text(message)):
            self.send(name, bytes([byte]))
            self.turn()

    def say_many(self, number: int, name: str, message: str | dict) -> None:
        """The same many times, written at once."""
        self.send(name, framed(json_text(message)) * number)

    def say_late(self, seconds: float, name: str, message: str | dict) -> None:
        """The process is stopped so long with events in hand; this comes meanwhile."""
        data = framed(json_text(message))
        self.stop_with_events(seconds, lambda: self.connections[name].sendall(data))

    def say_while_writing(self, name: str, message: str | dict) -> None:
        """A message that arrives just as an order is written; it is not read in that turn."""
        real, before = self.service.streams.send, self.log.count('"message_dropped"')
        data = framed(json_text(message))
        self.service.streams.send = lambda proxy: (self.send(name, data), real(proxy))
        self.act("set_entry", 0, "a", 2.5)
        self.service.streams.send = real
        assert not self.service.log.unread, self.service.log.unread
        assert self.log.count('"message_dropped"') == before, self.log

    def send_hex(self, name: str, digits: str) -> None:
        self.send(name, bytes.fromhex(digits))
        self.turn()

    def send_incomplete(self, name: str, size: int) -> None:
        """A message of this size but for its last byte."""
        self.send(name, size.to_bytes(4, "little"))
        for at in range(0, size - 1, 60_000):
            self.send(name, b" " * min(60_000, size - 1 - at))
            self.turn()

    def fill_buffer_with_pings(self, name: str) -> None:
        """A buffer full of pings, and the beginning of one more."""
        pings = framed('{"type":"ping"}') * 1000
        self.connections[name].sendall(pings[: self.service.streams.pool.size] + b"x" * 100)
        self.turn()

    def hang_up(self, name: str) -> None:
        self.connections.pop(name).close()
        self.turn()

    def end_sending(self, name: str) -> None:
        """It has sent its last and still reads."""
        self.connections[name].shutdown(socket.SHUT_WR)
        self.turn()

    def stop_reading(self, name: str) -> None:
        """It reads nothing any more: the way to it is full."""
        address = "{}:{}".format(*self.connections[name].getsockname())
        found = next(each for each in self.service.streams.connections if each.peer == address)
        self.not_reading[name] = found, found.sock
        found.sock = FullSocket(found.sock)

    def resume_reading(self, name: str) -> None:
        found, found.sock = self.not_reading.pop(name)
        self.turn()

    def fail_writes(self, name: str, error: type[Exception], message: str | dict | None = None) -> None:
        """Each write to one that stopped reading fails so; it has sent the message before."""
        if message is not None:
            self.connections[name].sendall(framed(json_text(message)))
        self.not_reading[name][0].sock.error = error
        self.turn()

    def send_datagram(self, sender: str, digits: str, times: int = 1) -> None:
        """From `peer` or `unknown`; hex digits, so many times in one datagram."""
        address = self.begin().gossip.sock.getsockname()
        getattr(self, sender).sendto(bytes.fromhex(digits) * times, address)
        self.turn()

    def expect_datagram(self, digits: str) -> None:
        self.until(lambda: bool(select.select([self.peer], [], [], 0)[0]), "a datagram")
        assert self.peer.recv(512).hex() == digits

    def expect_received(self, name: str, text: str) -> None:
        self.until(lambda: text in self.received[name], (name, text))

    def expect_not_received(self, name: str, text: str) -> None:
        """What was ordered before the pong came before it."""
        self.expect_pong(name)
        assert text not in self.received[name], self.received[name]

    def forget_received(self, name: str) -> None:
        self.received[name] = ""

    def expect_pong(self, name: str) -> None:
        before = self.received[name].count('"pong"')
        self.say(name, '{"type":"ping"}')
        self.until(lambda: self.received[name].count('"pong"') > before, (name, "pong"))

    def expect_closed(self, name: str) -> None:
        self.expect_received(name, CLOSED)

    def expect_orderly_end(self, name: str) -> None:
        """Its connection was not reset."""
        assert self.connections[name].recv(1) == b""

    def expect_joined(self, *proxies: int) -> None:
        """Just these have joined."""
        self.until(lambda: sorted(self.service.coordinator.updates.proxies) == [*proxies], proxies)

    def expect_no_connections(self) -> None:
        self.until(lambda: not self.service.streams.connections, "connections")


class ServiceHarness(Peers):
    """What the tests use."""

    def close(self) -> None:
        """Ends the service, which must have given all back."""
        self.lift_descriptor_limit()
        if self.service:
            self.service.close()
            assert self.service.streams.pool.taken == 0
            assert not self.service.loop.tasks
            assert not self.service.coordinator.updates.proxies
        stand_ins = [each[0] for each in [*self.answers.values(), *self.health_checks]]
        own = [self.discovery, self.peer, self.unknown]
        for sock in [*own, *self.connections.values(), *self.watches, *stand_ins]:
            sock.close()
        for fd in self.pipe:
            os.close(fd)

    def flood_orders(self, turns: int) -> None:
        """So many turns that each change two hundred entries, whose bytes must not pile up."""
        for turn in range(turns):
            for backend in range(200):
                self.service.coordinator.set_entry(0, f"backend-{backend}", float(turn + 1))
            self.turn()
        unsent = [len(each.unsent) for each in self.service.streams.connections]
        assert 0 < max(unsent) < 100_000, unsent

    def churn(self, times: int, zone: str) -> None:
        """A second each: a new backend, the one before gone, a stream anew."""
        for number in range(times):
            entries = [
                (f"churned-{number}", "ready", self.now // 10**6),
                (f"churned-{number - 1}", "gone", 0),
            ]
            endpoints = [
                {"name": name, "address": "127.0.0.1:9", "zone": zone, "status": status, "since_ms": since}
                for name, status, since in entries
            ]
            self.send_list({"index": 100 + number, "snapshot": False, "endpoints": endpoints})
            self.join_proxy("churner", 7, zone)
            self.advance(1)
            self.hang_up("churner")
            self.expect_pong("p")

    def expect_kept_at_most(self, limit: int) -> None:
        """Of anything that is kept by name, stream or time, at most so many."""
        service, coordinator = self.service, self.service.coordinator
        kept = {
            "addresses": service.discovery.addresses,
            "backends": coordinator.planner.fleet.backends,
            "possibly_excluded": coordinator.updates.possibly_excluded,
            "unassigned": coordinator.updates.unassigned,
            "excluded": coordinator.updates.excluded,
            "timers": service.loop.timers,
            "tasks": service.loop.tasks,
            "watched": service.loop.watching,
            "planner_timers": coordinator.timers,
            "connections": service.streams.connections,
            "pending": service.streams.pending,
            "marks": coordinator.planner.in_flight._batches,
            "booked": coordinator.planner.in_flight._batches_of,
            **coordinator.queues,
            **coordinator.updates.tables,
            **{f"told {proxy}": each.told for proxy, each in coordinator.updates.proxies.items()},
        }
        over = {name: len(each) for name, each in kept.items() if len(each) > limit}
        assert not over, over
