"""Plays one scenario: a planner on a host that notes what is asked; tests/README.md has the notation."""

import copy
import json
import os
import resource
import select
import socket
from collections import defaultdict
from contextlib import suppress
from types import SimpleNamespace

from support.records import endpoint, settings_of

from granitespool.coordinator import Coordinator
from granitespool.errors import InvalidInputError
from granitespool.net.config import quotas
from granitespool.net.service import Service
from granitespool.outgoing import Queue
from granitespool.planner import events
from granitespool.planner.planner import Planner
from granitespool.planner.records import MinimumRtt
from granitespool.planner.status import BackendSnapshot, FleetSnapshot, LinkSnapshot


def framed(words):
    body = " ".join(words).encode()
    return len(body).to_bytes(4, "little") + body


def joining(proxy, zone):
    return f'{{"type":"joined","node":{proxy},"locality":"{zone}","w":5.0,"cold":true}}'


def accepted(listener):
    with suppress(OSError):  # nobody waits, or no descriptor is free
        sock = listener.accept()[0]
        sock.setblocking(False)
        return sock


def received(sock):
    """What stands there to be read as text, `<end>` for the end of the connection."""
    try:
        return sock.recv(1 << 20).decode("latin1") or "<end>"
    except BlockingIOError:
        return ""
    except OSError:
        return "<end>"


EPOCH = 10**18  # ns: the clock of a service's scenario begins here
NOTATION = {  # the planner's actions -> the scenarios' words for them
    "set_entry": "weigh",
    "assign": "bind",
    "exclude": "withdraw",
    "set_admission": "level",
    "request_acknowledgement": "mark",
    "check_health": "probe",
    "subscribe": "observe",
    "send_gossip": "post",
    "log": "remark",
    "reset_table": "reset_table",
    "forget": "forget",
}
ACTIONS = {word: action for action, word in NOTATION.items()}
FORMS = {"whole": events.ListForm.COMPLETE}
EVENTS = {  # the scenarios' words for events -> how one is made of the words that follow
    "heard": lambda *words: events.LoadReport(*words, load={}),
    "arrivals": events.UsageReport,
    "joined": events.ProxyJoined,
    "left": events.ProxyLeft,
    "applied": events.Acknowledged,
    "probed": lambda backend, outcome, latency: events.HealthCheckResult(
        backend, events.HealthCheckOutcome(outcome), latency, {}
    ),
    "peer_said": events.GossipReceived,
    "slice_given": events.SliceAssigned,
    "slice_line": events.SliceEntry,
    "slice_load": events.SliceLoad,
}
UNITS = {"ms": 1_000_000, "us": 1_000, "s": 1_000_000_000}


def value(word):
    """2s and 5ms are times, true and false flags, the rest numbers or words."""
    if word in ("true", "false"):
        return word == "true"
    for unit, size in UNITS.items():
        if word.endswith(unit) and word[: -len(unit)].replace(".", "").isdigit():
            return round(float(word[: -len(unit)]) * size)
    try:
        return int(word) if word.lstrip("-").isdigit() else float(word)
    except ValueError:
        return word


class Stage:
    """A host that notes each call as a line of text and keeps the timers."""

    def __init__(self):
        self.now, self.calls, self.timers, self.order = 0, [], [], iter(range(10**9))
        self.settings, self.planner = {"zones": ["n", "s"], "classes": []}, None

    def __getattr__(self, name):  # any action
        word = NOTATION[name]
        return lambda *args: self.calls.append(
            " ".join([word, *(f"{a:g}" if isinstance(a, float) else str(a) for a in args)])
        )

    def set_admission(self, table, classes, share, retries):
        """Noted once for each class that it names: what each is let in, however classes are grouped."""
        for position in range(classes.bit_length()):
            if classes >> position & 1:
                self.calls.append(f"level {table} {1 << position} {share:g} {retries}")

    def exclusion_cost(self, backend, excluded, unassigned, known):  # as the simulator's channel has it
        return {proxy: min(held, known) / known for proxy, (held, _) in unassigned.items()}

    def readmission_cost(self, proxies, table, backend=None):
        return {}

    def set_timer(self, delay, cookie):
        assert delay >= 0
        self.timers.append((self.now + delay, next(self.order), cookie))

    def begin(self):
        self.planner = self.planner or Planner(self, self.now, 1, settings_of(self.settings))
        return self.planner

    def report(self, event):
        self.begin().handle(self.now, event)

    def play(self, line):
        verb, *words = line.split()
        getattr(self, "do_" + verb)(*words)

    def end(self):
        """Gives back what the scenario opened."""

    def do_set(self, *pairs):
        self.settings.update((k, value(v)) for k, v in (pair.split("=") for pair in pairs))

    def do_class(self, name, effect, promised, benefit):
        self.settings["classes"].append(
            {
                "name": name,
                "effect": effect,
                "latency_objective": value(promised),
                "timeout": 3 * value(promised),
                "priority_weight": value(benefit),
            }
        )

    def do_at(self, when):
        self.begin()
        self.calls.clear()
        end = value(when)
        while due := sorted(t for t in self.timers if t[0] <= end):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.planner.on_timer(self.now, due[0][2])
        self.now = end

    def do_list(self, form, *entries):
        rows = []
        for entry in entries:  # id:zone[:weight[:phase[:started]]]
            usual = ["1", "ready", "0"][entry.count(":") - 1 :]
            name, zone, weight, phase, started = (entry.split(":") + usual)[:5]
            rows.append(endpoint(name, zone, phase=phase, weight=value(weight), started_at=value(started)))
        form = FORMS.get(form) or events.ListForm(form)
        self.report(events.EndpointListUpdate(form, rows))

    def do_join(self, proxy, zone):
        self.report(events.ProxyJoined(int(proxy), zone, True, 5.0))

    def do_recalls(self, *words):  # ZONE/ID/TRIES/FAILED/MEAN[/cut], unproven/ID, strained/ROOM/CLASS=N
        fleet = FleetSnapshot(is_overloaded=False, admitted_share=1.0, success_ratio=1.0, demand={})
        links, unverified = {}, set()
        for word in words:
            kind, *rest = word.split("/")
            if kind == "strained":
                demand = {name: value(number) for name, number in (pair.split("=") for pair in rest[1:])}
                fleet = FleetSnapshot(
                    is_overloaded=True, admitted_share=float(rest[0]), success_ratio=1.0, demand=demand
                )
            elif kind == "unproven":
                links.setdefault(rest[0], {})
                unverified.add(rest[0])
            else:
                links.setdefault(rest[0], {})[kind] = self.link_snapshot(*rest[1:])
        backends = {name: self.backend_snapshot(name not in unverified, links[name]) for name in links}
        self.report(events.Restored(fleet, backends))

    def link_snapshot(self, tries, failed, mean, *more):
        attempts, failures, rtt = value(tries), value(failed), value(mean)
        return LinkSnapshot(
            attempts=float(attempts),
            failures=float(failures),
            successes=float(attempts - failures),
            response_time=float((attempts - failures) * rtt),
            minimum_rtt=MinimumRtt(self.now, rtt) if rtt else None,
            overloaded_reports=0,
            consecutive_failures=0,
            ejected_at=self.now - 10**9 if "cut" in more else None,
            slow_start_since=None,
        )

    @staticmethod
    def backend_snapshot(verified, links):
        return BackendSnapshot(
            phase="ready",
            zone=None,
            machine_type=None,
            configured_weight=1.0,
            started_at=0,
            left_ready_at=0,
            slow_start_since=None,
            verified=verified,
            removal_unconfirmed=False,
            links=links,
        )

    def do_crowd(self, number, zone):
        for proxy in range(int(number)):
            self.do_join(proxy, zone)

    def do_left(self, proxy):
        self.report(events.ProxyLeft(int(proxy)))

    def do_heard(self, zone, backend, tries, failed, mean):
        self.report(events.LoadReport(zone, backend, int(tries), int(failed), value(mean), 10**9, {}))

    def do_steady(self, until, *reports):  # the same reports each second: zone/backend/tries/failed/mean
        while self.now + 10**9 <= value(until):
            kept = list(self.calls)
            self.do_at(f"{self.now // 10**9 + 1}s")
            self.calls[:0] = kept
            for report in reports:
                self.do_heard(*report.split("/"))

    def do_call(self, method, *words):  # reports and probes end with a load, here always empty
        self.report(EVENTS[method](*map(value, words)))

    def do_answer(self, proxy):  # the proxy answers the last mark it was sent
        marks = [call.split()[1] for call in self.calls if call.startswith("mark")]
        self.report(events.Acknowledged(int(proxy), int(marks[-1]), 10**8))

    def made(self, words):
        text = " ".join(words)
        return [call for call in self.calls if call == text or call.startswith(text + " ")]

    def do_expect(self, *words):
        assert self.made(words), (words, self.calls)

    def do_never(self, *words):
        assert not self.made(words), self.calls

    def do_count(self, number, *words):
        text = " ".join(words)
        assert sum(call.startswith(text) for call in self.calls) == int(number), self.calls


class Desk(Stage):
    """A facade and its planner; `host` speaks for the planner, `gets` shows what a proxy would be written."""

    def begin(self):
        if not self.planner:
            self.facade = Coordinator(settings_of(self.settings), 1, self.now)
            self.planner = self.facade.planner
        return self

    def report(self, event):
        self.begin().facade.report(self.now, event)

    def do_at(self, when):
        self.begin()
        end = value(when)
        while (due := self.facade.tick(self.now)) is not None and due <= end:
            self.now = due
        self.now = end

    def end(self):
        errors = self.facade.queues[Queue.INTERNAL_ERRORS]
        assert not errors, errors

    def do_host(self, call, *words):
        getattr(self.begin().facade, ACTIONS[call])(*map(value, words))

    def do_gets(self, proxy, *words):
        self.facade.tick(self.now)
        order = self.facade.pick(int(proxy))
        assert self.text(order) == " ".join(words), self.text(order)

    @staticmethod
    def text(order):
        if not order:
            return "nothing"
        parts = [
            " ".join(
                [
                    "whole" if whole else "lines",
                    *([",".join(classes)] if classes is not None else []),
                    *(f"{b}={w:g}" for b, w in entries.items()),
                ]
            )
            for classes, whole, entries in order.tables
        ]
        parts += [
            f"level {','.join(classes) if classes is not None else 'all'} {share:g} {retries}"
            for classes, share, retries in order.levels
        ]
        exclusions = {"out": order.excluded, "back": order.readmitted}
        parts += [f"{key} {' '.join(names)}" for key, names in exclusions.items() if names]
        return " | ".join([*parts, *(["mark"] if order.barrier is not None else [])])


class Full:
    """A socket whose other side takes nothing."""

    def __init__(self, sock):
        self.sock = sock

    error = BlockingIOError

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def send(self, data):
        raise self.error


class Sockets(Stage):
    """A whole service on loopback in this thread, on a clock of ours, with stand-ins for all others."""

    TURNS, PAUSE = 400, 5_000_000  # turns that an expectation is waited for, ns each

    def __init__(self):
        super().__init__()
        self.now, self.known, self.service, self.parties, self.got = EPOCH, [], None, {}, defaultdict(str)
        self.answers, self.addresses, self.watches, self.asked = {}, {}, [], ""
        self.settings.update(proxies_expected=600, health_checks_allowed=False)
        self.limits, self.discovery, self.pipe = {}, socket.create_server(("127.0.0.1", 0)), os.pipe()
        self.peer, self.stranger = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
        for sock in (self.peer, self.stranger):
            sock.bind(("127.0.0.1", 0))
        os.set_blocking(self.pipe[0], False)
        self.discovery.setblocking(False)
        self.allowed, self.fillers = resource.getrlimit(resource.RLIMIT_NOFILE), []
        self.log, self.reads, self.probing, self.deaf, self.unreadable = "", True, [], {}, None

    def begin(self):
        if not self.service:
            self.service = Service(self.config(), self.pipe[1], lambda: self.now, self.reread)
        return self.service

    def config(self):
        return {
            "name": "t",
            "listen": ("127.0.0.1", 0),
            "discovery": self.discovery.getsockname(),
            "seed": 1,
            **quotas(self.limits),
            "peer_listen": ("127.0.0.1", 0),
            "peers": [self.peer.getsockname()],
            "peers_all": self.peer.getsockname(),
            "known": {"index": 7, "endpoints": self.known},
            "settings": settings_of(copy.deepcopy(self.settings)),
        }

    def reread(self):
        if self.unreadable:
            raise InvalidInputError(self.unreadable)
        return self.config()

    def do_reload(self, *changes):  # SIGHUP; changes as with `set`; `wrong` if it can't be read
        self.unreadable = "it is wrong" if changes == ("wrong",) else None
        self.do_set(*() if self.unreadable else changes)
        self.service.reload()
        self.turn()

    def do_moves(self):  # discovery's next configured address; the old one takes no more
        self.discovery.close()
        self.discovery = socket.create_server(("127.0.0.1", 0))
        self.discovery.setblocking(False)

    def end(self):
        self.do_feed()
        if self.service:
            self.service.close()
            left = (
                self.service.streams.pool.taken,
                self.service.loop.tasks,
                self.service.coordinator.updates.proxies,
            )
            assert left == (0, set(), {}), left
        for sock in (
            self.discovery,
            self.peer,
            self.stranger,
            *self.parties.values(),
            *self.watches,
            *(each[0] for each in [*self.answers.values(), *self.probing]),
        ):
            sock.close()
        for fd in self.pipe:
            os.close(fd)

    def __getattr__(self, name):
        raise AttributeError(name)

    def turn(self, wait=0):
        self.begin().turn(wait)
        for backend, (listener, _) in self.answers.items():
            if sock := accepted(listener):
                self.probing.append((sock, backend))
        for sock, backend in list(self.probing):
            if backend in self.answers and self.answers[backend][1] and received(sock):
                sock.sendall(self.answers[backend][1].encode())
                sock.close()
                self.probing.remove((sock, backend))
        if sock := accepted(self.discovery):
            self.watches.append(sock)
        for sock in self.watches:
            self.asked += received(sock)
        for name, sock in self.parties.items():
            if not self.got[name].endswith("<end>"):
                self.got[name] += received(sock)
        if self.reads:
            with suppress(BlockingIOError):
                self.log += os.read(self.pipe[0], 1 << 20).decode()

    def until(self, check, told):
        for _ in range(self.TURNS):
            if check():
                return
            self.turn(self.PAUSE)
        assert check(), (told, self.log[-3000:], dict(self.got))

    def do_limits(self, *pairs):
        self.limits = {k: value(v) for k, v in (pair.split("=") for pair in pairs)}

    def do_known(self, *entries):
        for entry in entries:
            name, zone = entry.split(":")
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            self.answers[name] = listener, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nutil=0.25"
            self.addresses[name] = "{}:{}".format(*listener.getsockname())
            self.known.append(
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

    def do_answers(self, backend, *words):  # what this backend's probes get; nothing: silence
        self.answers[backend] = self.answers[backend][0], " ".join(words).encode().decode("unicode_escape")

    def do_dies(self, backend):
        self.answers.pop(backend)[0].close()

    def do_at(self, when):
        self.turn()
        while self.now < EPOCH + value(when):
            self.now = min(self.now + 100_000_000, EPOCH + value(when))
            self.turn()

    def do_open(self, name, times="1"):
        for k in range(int(times)):
            sock = socket.create_connection(self.begin().streams.listener.getsockname())
            sock.setblocking(False)
            self.parties[name if times == "1" else f"{name}{k}"] = sock
            self.turn()

    def send(self, name, data):
        view = memoryview(data)
        for _ in range(self.TURNS * 50):
            try:
                view = view[self.parties[name].send(view) :]
            except BlockingIOError:
                pass
            except ConnectionError:
                return
            if not view:
                return
            self.turn(self.PAUSE)
        assert not view, "not taken"

    def do_say(self, name, *words):  # one message
        self.send(name, framed(words))
        self.turn()

    def do_trickle(self, name, *words):  # the same, a byte a turn
        for byte in framed(words):
            self.send(name, bytes([byte]))
            self.turn()

    def do_many(self, times, name, *words):  # the same many times, written at once
        self.send(name, framed(words) * int(times))

    def do_raw(self, name, text):
        self.send(name, bytes.fromhex(text))
        self.turn()

    def do_fill(self, name, size):  # the beginning of a message of this size, its last byte missing
        self.send(name, int(size).to_bytes(4, "little"))
        for at in range(0, int(size) - 1, 60_000):
            self.send(name, b" " * min(60_000, int(size) - 1 - at))
            self.turn()

    def do_joins(self, name, proxy, zone):
        self.do_open(name)
        self.do_say(name, joining(proxy, zone))

    def do_waits(self, name, proxy, zone):  # its joining is sent before its connection is taken
        sock = socket.create_connection(self.begin().streams.listener.getsockname())
        sock.sendall(framed([joining(proxy, zone)]))
        sock.setblocking(False)
        self.parties[name] = sock
        self.turn()

    def do_throng(self, number, zone):  # t0, t1, ... all at once
        real, self.turn = self.turn, lambda: None
        for k in range(int(number)):
            self.do_waits(f"t{k}", k, zone)
        self.turn = real
        self.turn()

    def do_mutter(self, times):  # so many remarks of the planner
        for _ in range(int(times)):
            self.do_host("remark", "a-word-" * 20)

    def do_hangup(self, name):
        self.parties[name].close()
        del self.parties[name]
        self.turn()

    def do_ends(self, name):  # it has sent its last and still reads
        self.parties[name].shutdown(socket.SHUT_WR)
        self.turn()

    def do_exhausts(self, left):  # so many buffers are left
        pool = self.service.streams.pool
        pool.limit = pool.taken + int(left)

    def do_spans(self, name):  # a buffer full of pings, and the beginning of one more
        ping = framed(['{"type":"ping"}'])
        self.parties[name].sendall((ping * 1000)[: self.service.streams.pool.size] + b"x" * 100)
        self.turn()

    def do_unreset(self, name):  # its connection ended in good order
        assert self.parties[name].recv(1) == b""

    def do_alone(self):  # nobody is connected
        self.until(lambda: not self.service.streams.connections, "connections")

    def do_drips(self, seconds, *words):  # a byte of this each half a second, over and over, as chunks
        data = " ".join(words).encode() * 100
        for byte in data[: value(seconds) // 500_000_000]:
            with suppress(OSError):
                self.watches[-1].sendall(b"1\r\n%c\r\n" % byte)
            self.do_at(f"{(self.now - EPOCH) / 10**9 + 0.5:.3f}s")

    def do_probed(self, backend, where):  # where this backend is probed
        assert self.service.discovery.addresses[backend] == self.service.discovery.addresses[where[1:]]

    def do_lags(self, seconds, name, *words):  # it is stopped with events in hand; this comes meanwhile
        self.stopped(seconds, lambda: self.parties[name].sendall(framed(words)))

    def do_probing(self, backend):  # its probe has asked
        self.until(
            lambda: any(
                name == backend and select.select([sock], [], [], 0)[0] for sock, name in self.probing
            ),
            backend,
        )

    def do_tardy(self, seconds, backend, *words):  # the same, and what comes is the answer of a probe
        [sock] = [sock for sock, name in self.probing if name == backend]
        answer = " ".join(words).encode().decode("unicode_escape").encode()
        self.stopped(seconds, lambda: sock.sendall(answer))

    def stopped(self, seconds, meanwhile):
        real = self.service.loop.epoll

        def poll(*_):
            self.service.loop.epoll, found = real, real.poll(0)
            meanwhile()
            self.now += value(seconds)
            return found

        self.service.loop.epoll = SimpleNamespace(poll=poll)
        self.service.turn(0)
        assert self.service.loop.epoll is real
        self.turn()

    def do_together(self, *steps):  # these are done before the process runs again; split by |
        real, self.turn = self.turn, lambda *_: None
        try:
            for step in " ".join(steps).split(" | "):
                self.play(step)
        finally:
            self.turn = real
        self.turn()

    def do_gets(self, name, *words):
        self.until(lambda: " ".join(words) in self.got[name], (name, words))

    def do_never(self, name, *words):  # what was ordered before the pong came before it
        self.do_alive(name)
        assert " ".join(words) not in self.got[name], self.got[name]

    def do_deaf(self, name):  # it reads nothing any more: the way to it is full
        where = "{}:{}".format(*self.parties[name].getsockname())
        full = next(each for each in self.service.streams.connections if each.peer == where)
        self.deaf[name] = full, full.sock
        full.sock = Full(full.sock)

    def do_hears(self, name):
        full, full.sock = self.deaf.pop(name)
        self.turn()

    def do_fails(self, name, error, *words):  # each write to it fails so from now on; it has sent this before
        if words:
            self.parties[name].sendall(framed(words))
        self.deaf[name][0].sock.error = {"ECONNRESET": ConnectionResetError, "ENOBUFS": OSError}[error]
        self.turn()

    def do_forget(self, name):
        self.got[name] = ""

    def do_alive(self, name):
        before = self.got[name].count('"pong"')
        self.do_say(name, '{"type":"ping"}')
        self.until(lambda: self.got[name].count('"pong"') > before, (name, "pong"))

    def do_ended(self, name):
        self.do_gets(name, "<end>")

    def do_logged(self, *words):
        self.until(lambda: " ".join(words) in self.log, words)

    def do_dropped(self, number):
        self.until(lambda: self.log.count('"message_dropped"') == int(number), number)

    def do_unheard(self, backend):  # nothing was counted of it
        rec = self.service.coordinator.planner.fleet.backends[backend]
        attempts = [link.attempts for link in rec.links.values() if link.attempts]
        assert (rec.recent_attempts, attempts) == (0, []), rec.recent_attempts

    def do_heard_of(self, backend, tries):  # so many tries were counted of it
        backends = self.service.coordinator.planner.fleet.backends
        self.until(lambda: backends[backend].recent_attempts == int(tries), tries)

    def do_unlogged(self, *words):
        assert " ".join(words) not in self.log, self.log

    def do_unread(self):  # nobody reads the log
        self.reads = False

    def do_host(self, call, *words):  # a host call as the planner would make it
        getattr(self.begin().coordinator, ACTIONS[call])(*map(value, words))
        self.turn()

    def do_flood(self, times):  # so many turns, each with new weights of two hundred lines
        for k in range(int(times)):
            for backend in range(200):
                self.service.coordinator.set_entry(0, f"backend-{backend}", float(k + 1))
            self.turn()
        kept = [len(each.unsent) for each in self.service.streams.connections]
        assert 0 < max(kept) < 100_000, kept

    def do_starve(self, more):  # the process may open so many descriptors more
        top = max(int(fd) for fd in os.listdir("/proc/self/fd"))
        resource.setrlimit(resource.RLIMIT_NOFILE, (top + 1, self.allowed[1]))
        with suppress(OSError):
            while True:
                self.fillers.append(os.open("/dev/null", os.O_RDONLY))
        for _ in range(int(more)):
            os.close(self.fillers.pop())

    def do_feed(self):
        resource.setrlimit(resource.RLIMIT_NOFILE, self.allowed)
        while self.fillers:
            os.close(self.fillers.pop())

    def do_crosses(self, name, *words):  # a message that arrives just as an order is written to a proxy
        real, before = self.service.streams.send, self.log.count('"message_dropped"')
        self.service.streams.send = lambda proxy: (self.send(name, framed(words)), real(proxy))
        self.do_host("weigh", "0", "a", "2.5")
        self.service.streams.send = real
        assert not self.service.log.unread, self.service.log.unread
        assert self.log.count('"message_dropped"') == before, self.log

    def do_peer_gets(self, text):
        self.until(lambda: select.select([self.peer], [], [], 0)[0], "a datagram")
        assert self.peer.recv(512).hex() == text

    def do_stall(self, seconds):  # the process is stopped so long: its wait comes back empty
        real, self.now = self.service.loop.epoll, self.now + value(seconds)
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

    def do_read(self):
        self.reads = True

    def do_joined(self, *numbers):
        self.until(lambda: sorted(self.service.coordinator.updates.proxies) == [*map(int, numbers)], numbers)

    def do_asked(self, *words):  # discovery was asked this since it was last looked at
        self.until(lambda: " ".join(words) in self.asked, (words, self.asked))
        self.asked = ""

    def do_unasked(self):
        assert "GET" not in self.asked, self.asked

    def do_grants(self):  # discovery accepts the watch
        self.do_tells("HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n")

    def do_tells(self, *words):  # discovery's words on the latest watch, \n and \r as escapes
        self.until(lambda: self.watches, "a watch")
        self.watches[-1].sendall(" ".join(words).encode().decode("unicode_escape").encode())
        self.turn()

    def do_news(self, *words):  # a chunk of a line
        self.do_pending(*words)
        self.turn()

    def do_pending(self, *words):  # the same, not read yet
        line = " ".join(words) + "\n"
        for name, where in self.addresses.items():
            line = line.replace(f"@{name}", where)
        self.watches[-1].sendall(f"{len(line):x}\r\n{line}\r\n".encode())

    def do_churns(self, times, zone):  # a second each: a new backend, the one before gone, a stream anew
        for k in range(int(times)):
            listed = [(f"churned-{k}", "ready", self.now // 10**6), (f"churned-{k - 1}", "gone", 0)]
            self.do_news(
                json.dumps(
                    {
                        "index": 100 + k,
                        "snapshot": False,
                        "endpoints": [
                            {
                                "name": name,
                                "address": "127.0.0.1:9",
                                "zone": zone,
                                "status": status,
                                "since_ms": since,
                            }
                            for name, status, since in listed
                        ],
                    }
                )
            )
            self.do_joins("churner", 7, zone)
            self.do_at(f"{(self.now - EPOCH) / 10**9 + 1:.3f}s")
            self.do_hangup("churner")
            self.do_alive("p")

    def do_kept(self, most):  # of anything that is kept by name, stream or time, at most so many
        service, facade = self.service, self.service.coordinator
        sizes = {
            "addresses": service.discovery.addresses,
            "backends": facade.planner.fleet.backends,
            "possibly_excluded": facade.updates.possibly_excluded,
            "unassigned": facade.updates.unassigned,
            "excluded": facade.updates.excluded,
            "timers": service.loop.timers,
            "tasks": service.loop.tasks,
            "watched": service.loop.watching,
            "planner_timers": facade.timers,
            "connections": service.streams.connections,
            "pending": service.streams.pending,
            "marks": facade.planner.in_flight._batches,
            "booked": facade.planner.in_flight._batches_of,
            **facade.queues,
            **facade.updates.tables,
            **{f"told {proxy}": each.told for proxy, each in facade.updates.proxies.items()},
        }
        over = {name: len(kept) for name, kept in sizes.items() if len(kept) > int(most)}
        assert not over, over

    def do_breaks(self):  # discovery resets the watch
        self.watches.pop().close()
        self.turn()

    def do_datagram(self, who, text, times="1"):
        getattr(self, who).sendto(bytes.fromhex(text) * int(times), self.begin().gossip.sock.getsockname())
        self.turn()

    def do_memory(self, most):  # buffers out at most
        assert self.service.streams.pool.taken <= int(most), self.service.streams.pool.taken
