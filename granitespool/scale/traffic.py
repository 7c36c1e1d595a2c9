"""Made-up requests: the work that tables bring to backends, followed requests, and collectors' reports.

No request is sent on a socket. The work of a backend follows from the tables that proxies hold; a few
requests of each proxy are followed one by one, with their tries again. All chance comes from one seed."""

import socket
from collections.abc import Callable, Generator
from random import Random

from granitespool.net.client import dial, send
from granitespool.net.frames import frame
from granitespool.net.loop import IN, SECOND, Loop
from granitespool.scale.backends import Backends
from granitespool.scale.fleet import MS
from granitespool.scale.proxies import CoordinatorPlace, ProxyStream
from granitespool.scale.recorder import Recorder
from granitespool.scale.schema import Scenario
from granitespool.scale.trace import BackendLoad, RequestExecuted

TICK = SECOND // 4  # ns between two looks at the work of backends
REPORT_EVERY = SECOND  # ns between a collector's reports
AGAIN = SECOND // 2  # ns between a collector's diallings
DIAL = SECOND  # ns for a connection to come up
READ = 4096
EFFECTS = ("single_shot", "guarded", "free")  # of the classes in turn, as the settings tell them
NEVER_RAN = 1  # the manner of trying again that allows only what provably never ran; higher ones allow more
ANSWER_LOST = 0.05  # share of the tries that a backend carried out whose answer does not arrive

Wait = Generator[tuple[int | None, int, int | None], int, None]


class Traffic:
    """The work of all proxies with streams."""

    def __init__(
        self,
        loop: Loop,
        recorder: Recorder,
        scenario: Scenario,
        streams: list[ProxyStream],
        backends: Backends,
        random: Random,
    ) -> None:
        self.loop, self.recorder, self.scenario = loop, recorder, scenario
        self.streams, self.backends, self.random = streams, backends, random
        self.requests = self.unserved = 0  # that were followed; of those, without an answer
        self.cold: set[str] = set()  # backends whose last load was told as a cold one's
        loop.spawn(self._ticks())

    def _ticks(self) -> Wait:
        tick = self.loop.now
        while True:
            tick += TICK
            yield None, 0, tick
            self._loads()
            self._follow()

    def _loads(self) -> None:
        cold_time = int(self.scenario.rules.cold_s * SECOND)
        now = self.loop.clock()
        started = self.backends.started
        cold = {name for name in self.backends.living if started[name] and now - started[name] < cold_time}
        if cold or self.cold:
            work, knowing = self._work(cold)
            able = self._able()
            for name in sorted(cold):
                age = (now - started[name]) / cold_time
                share = self.scenario.rules.cold_share
                part = share + (1 - share) * age
                self.recorder.add(
                    BackendLoad(
                        at=self.loop.clock(),
                        backend=name,
                        multiple=work.get(name, 0.0) / (able * part),
                        cold=True,
                        knowing=knowing.get(name, 0.0) / work[name] if work.get(name) else 1.0,
                    )
                )
        for name in sorted(self.cold - cold):
            self.recorder.add(BackendLoad(at=self.loop.clock(), backend=name, multiple=0.0, cold=False))
        self.cold = cold

    def _able(self) -> float:
        """Requests a second that a warm backend can do."""
        rate = sum(stream.rate for stream in self.streams)
        return rate / self.scenario.traffic.load / max(1, len(self.backends.living))

    def _work(self, cold: set[str]) -> tuple[dict[str, float], dict[str, float]]:
        """Requests a second that reach each cold backend; of those, from proxies told since its start."""
        work: dict[str, float] = dict.fromkeys(cold, 0.0)
        knowing: dict[str, float] = dict.fromkeys(cold, 0.0)
        for stream in self.streams:
            table, shut = stream.table.table, stream.table.shut
            mine = cold.intersection(table).difference(shut)
            if not mine:
                continue
            total = sum(weight for name, weight in table.items() if name not in shut)
            for name in mine:
                rate = stream.rate * table[name] / total if total else 0.0
                work[name] += rate
                if stream.set_at.get(name, 0) >= self.backends.started[name]:
                    knowing[name] += rate
        return work, knowing

    def spread(self) -> dict[str, float]:
        """Requests a second that the tables bring to each backend that gets any."""
        work: dict[str, float] = {}
        for stream in self.streams:
            table, shut = stream.table.table, stream.table.shut
            lines = {name: weight for name, weight in table.items() if weight > 0 and name not in shut}
            total = sum(lines.values())
            for name, weight in lines.items():
                work[name] = work.get(name, 0.0) + stream.rate * weight / total
        return work

    def _follow(self) -> None:
        share = self.scenario.traffic.sampled_per_s * TICK / SECOND
        for stream in self.streams:
            if stream.joined and self.random.random() < share:
                self._request(stream)

    def _request(self, stream: ProxyStream) -> None:
        """Plays one request with its tries again, all at one time."""
        number = self.random.randrange(self.scenario.traffic.classes)
        effect = EFFECTS[number % len(EFFECTS)]
        level, manner = stream.table.level(f"class{number}")
        if self.random.random() >= level:
            return
        self.requests += 1
        for _ in range(2 if manner else 1):
            name = stream.table.pick(self.random)
            if name is None or name not in self.backends.living:
                continue  # it provably never ran, so every manner but none allows a further try
            self.recorder.add(
                RequestExecuted(at=self.loop.clock(), request=self.requests, backend=name, effect=effect)
            )
            if self.random.random() >= ANSWER_LOST:
                return
            if manner <= NEVER_RAN:
                break
        self.unserved += 1


class Collector:
    """A zone's collector: a connection to each coordinator, and on it what the zone's proxies met."""

    def __init__(
        self,
        loop: Loop,
        recorder: Recorder,
        scenario: Scenario,
        zone: str,
        streams: Callable[[], list[ProxyStream]],
        backends: Backends,
        random: Random,
    ) -> None:
        self.loop, self.recorder, self.scenario, self.zone = loop, recorder, scenario, zone
        self.streams, self.backends, self.random = streams, backends, random
        self.unreachable: set[str] = set()  # coordinators that a cut keeps it from
        self.down = False

    @property
    def region(self) -> str:
        """The region of its zone."""
        return self.zone.partition("-")[0]

    def report_to(self, place: CoordinatorPlace) -> None:
        """Connects to a coordinator from now on."""
        self.loop.spawn(self._run(place))

    def _run(self, place: CoordinatorPlace) -> Wait:
        yield None, 0, self.loop.now + int(self.random.random() * AGAIN)
        while True:
            if not place.ended and not self.down:
                try:
                    with socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK) as sock:
                        yield from self._stream(sock, place)
                except OSError:
                    pass  # dialled again
            yield None, 0, self.loop.now + AGAIN

    def _stream(self, sock: socket.socket, place: CoordinatorPlace) -> Wait:
        yield from dial(sock, place.address, self.loop.now + DIAL)
        hello = frame({"type": "collector", "locality": self.zone})
        yield from send(sock, hello, self.loop.now + DIAL)
        place.recorder.count(place.name, "in", "collector", len(hello))
        due = self.loop.now + int(self.random.random() * REPORT_EVERY)
        while not self.down:
            events = yield sock.fileno(), IN, due
            if events and not sock.recv(READ):
                return
            if self.loop.now < due:
                continue
            due += REPORT_EVERY
            if place.reports and place.name not in self.unreachable:
                reports = self._reports()
                data = b"".join(reports)
                yield from send(sock, data, None)
                place.recorder.count(place.name, "in", "heard", len(data), len(reports))

    def _reports(self) -> list[bytes]:
        """What a second brought, on links of this zone drawn by chance from what its proxies hold."""
        wanted = self.scenario.traffic.links_per_s / len(self.scenario.zones)
        count = int(wanted) + (self.random.random() < wanted % 1)
        mine = [stream for stream in self.streams() if stream.table.zone == self.zone and stream.table.table]
        if not mine:
            return []
        names = {stream.table.pick(self.random) for stream in self.random.choices(mine, k=count)}
        return [self._heard(name) for name in sorted(name for name in names if name is not None)]

    def _heard(self, name: str) -> bytes:
        more = self.scenario.traffic.tries_per_report - 1
        total = 1 + (round(self.random.expovariate(1 / more)) if more else 0)
        living = name in self.backends.living
        failing = self.scenario.traffic.failing_share if living else 1.0
        errors = sum(self.random.random() < failing for _ in range(total))
        rtt = self.scenario.traffic.service_ms * (0.8 + 0.4 * self.random.random())
        return frame(
            {
                "type": "heard",
                "locality": self.zone,
                "endpoint": name,
                "total": total,
                "errors": errors,
                "rtt": rtt if errors < total else 0.0,
                "interval": REPORT_EVERY / MS,
            }
        )
