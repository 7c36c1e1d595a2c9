"""Stand-ins of proxies: each keeps a stream to a coordinator, applies its orders and answers its marks.

A coordinator's messages pass a stand-in of the platform's channel, which carries so many lines a second; a
message acts on the proxy once the channel has carried it. The table itself is the laboratory's `Proxy`."""

import socket
from collections import deque
from collections.abc import Callable, Container, Generator
from random import Random

import orjson

from granitespool.emulator.world import Proxy
from granitespool.errors import InvalidInputError
from granitespool.net.buffers import Pool
from granitespool.net.client import dial, send
from granitespool.net.frames import HEAD, LARGEST, Reader, frame
from granitespool.net.loop import IN, SECOND, Loop, Task
from granitespool.scale.fleet import MS
from granitespool.scale.hollow import UpdateSeen
from granitespool.scale.recorder import Recorder
from granitespool.scale.trace import ChannelWaiting, MessageWritten, ProxyJoined, ProxyLeft, TableHeld

DIAL = SECOND  # ns for a connection to come up
AGAIN = SECOND // 5  # ns between a stream's end and the next dialling
USAGE_EVERY = SECOND  # ns between reports of usage
APPLY = 5 * MS  # ns in which a proxy applies a message that has arrived

Wait = Generator[tuple[int | None, int, int | None], int, None]


class ChannelQueue:
    """The platform's channel of one coordinator: messages wait in order, so many lines pass a second."""

    def __init__(
        self, recorder: Recorder, coordinator: str, lines_per_s: float, head: int, delay: int
    ) -> None:
        self.recorder, self.coordinator, self.pace = recorder, coordinator, lines_per_s
        self.head, self.delay, self.free_at = head, delay, 0  # lines; ns; ns

    def enter(self, now: int, lines: int) -> int:
        """A message enters; returns when (ns) it has passed."""
        self.free_at = max(now, self.free_at) + int((lines + self.head) / self.pace * SECOND)
        waiting = (self.free_at - now) / SECOND * self.pace
        self.recorder.add(ChannelWaiting(at=now, coordinator=self.coordinator, lines=waiting))
        return self.free_at + self.delay


class Message:
    """One message to a proxy in the making, from its parts."""

    def __init__(self) -> None:
        self.sizes: list[int] = []  # bytes of each part, the length before it counted
        self.lines = 0
        self.tables: list[tuple[None, bool, list[tuple[str, float]]]] = []
        self.levels: list[tuple[list[str] | None, float, int]] = []
        self.out: list[str] = []
        self.back: list[str] = []
        self.ticket: int | None = None

    def add(self, part: dict, size: int) -> None:
        """Takes one part of so many bytes, its length with them; a wrong field raises InvalidInputError."""
        try:
            self._add(part)
        except (TypeError, ValueError, KeyError) as error:
            raise InvalidInputError(f"a part of a message cannot be used: {error!r:.80}") from None
        self.sizes.append(size)

    def _add(self, part: dict) -> None:
        whole, lines = bool(part.get("whole")), [(name, weight) for name, weight in part.get("lines", ())]
        if whole or lines:
            self.tables.append((None, whole, lines))
        if "level" in part:
            self.levels.append((part.get("classes"), float(part["level"]), int(part["retry"])))
        self.out += part.get("out", ())
        self.back += part.get("back", ())
        self.ticket = part.get("ticket", self.ticket)
        counted = "level" in part, "ticket" in part, whole
        self.lines += len(lines) + len(part.get("out", ())) + len(part.get("back", ())) + sum(counted)

    def backends(self) -> list[str]:
        """All backends that it names."""
        return [name for _, _, lines in self.tables for name, _ in lines] + self.out + self.back


class ProxyStream:
    """One proxy, on the stream that it has just now."""

    def __init__(
        self,
        loop: Loop,
        recorder: Recorder,
        table: Proxy,
        home: "CoordinatorPlace",
        known: Container[str],
        random: Random,
    ) -> None:
        self.loop, self.recorder, self.table, self.place = loop, recorder, table, home
        self.known, self.random = known, random  # backends that discovery has ever listed
        self.rate, self.classes = 0.0, ()  # requests a second; classes' names
        self.cold = True  # it holds no table that was ordered
        self.resets = 0  # streams that it ended because it could not use what came
        self.joined = False
        self.set_at: dict[str, int] = {}  # backend -> when its line was ordered last, ns
        self.on_applied: Callable[[ProxyStream], None] = lambda stream: None
        self.silent: list[socket.socket] = []  # streams that a cut has left open
        self.sock: socket.socket | None = None
        self.task: Task = loop.spawn(self._run())

    @property
    def number(self) -> int:
        """The proxy's number among all."""
        return self.table.number

    def move(self, place: "CoordinatorPlace", silently: bool = False) -> None:
        """Goes to another coordinator; `silently` leaves the old stream open, as a cut does."""
        self.loop.end(self.task)
        if silently and self.sock is not None:
            self.silent.append(self.sock)
        elif self.sock is not None:
            self.sock.close()
        self.sock, self.place = None, place
        self.task = self.loop.spawn(self._run())

    def heal(self) -> None:
        """Streams that a cut had left open are reset."""
        while self.silent:
            self.silent.pop().close()

    def close(self) -> None:
        """Ends the proxy."""
        self.loop.end(self.task)
        self.heal()
        if self.sock is not None:
            self.sock.close()

    def _held(self) -> None:
        lines = {name: weight for name, weight in self.table.table.items() if weight > 0}
        shut_out = frozenset(self.table.shut)
        self.recorder.add(TableHeld(at=self.loop.clock(), proxy=self.number, lines=lines, shut_out=shut_out))

    def _run(self) -> Wait:
        yield None, 0, self.loop.now + int(self.random.random() * AGAIN)
        while True:
            by_coordinator = False
            place = self.place
            try:
                yield from self._stream(place)
                by_coordinator = True  # its end came from the other side
            except InvalidInputError:
                self.resets += 1
                by_coordinator = True
            except OSError:
                by_coordinator = self.joined
            finally:
                if self.joined:
                    self.joined = False
                    ended = by_coordinator and not place.ended
                    self.recorder.add(
                        ProxyLeft(
                            at=self.loop.clock(),
                            proxy=self.number,
                            coordinator=place.name,
                            by_coordinator=ended,
                        )
                    )
            if self.sock is not None:
                self.sock.close()
                self.sock = None
            if place.ended:
                self.place = place.successor()
            yield None, 0, self.loop.now + int(AGAIN * (0.5 + self.random.random()))

    def _stream(self, place: "CoordinatorPlace") -> Wait:
        self.sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        yield from dial(sock, place.address, self.loop.now + DIAL)
        joining = frame(
            {
                "type": "joined",
                "node": self.number,
                "locality": self.table.zone,
                "w": self.rate,
                "cold": self.cold,
            }
        )
        yield from send(sock, joining, self.loop.now + DIAL)
        place.recorder.count(place.name, "in", "joined", len(joining))
        self._held()
        self.joined = True
        self.recorder.add(ProxyJoined(at=self.loop.clock(), proxy=self.number, coordinator=place.name))
        reader = Reader(Pool(1 << 16), LARGEST)
        try:
            yield from self._serve(sock, place, reader)
        finally:
            reader.close()

    def _serve(self, sock: socket.socket, place: "CoordinatorPlace", reader: Reader) -> Wait:
        message = Message()
        arrived: deque[tuple[int, int, Message]] = deque()  # when it acts, when it came, what
        usage = self.loop.now + int(self.random.random() * USAGE_EVERY)
        while True:
            due = min(usage, arrived[0][0]) if arrived else usage
            events = yield sock.fileno(), IN, due
            while arrived and arrived[0][0] <= self.loop.now:
                yield from self._apply(sock, place, *arrived.popleft()[1:])
            if self.loop.now >= usage:
                usage += USAGE_EVERY
                yield from self._usage(sock, place)
            if not events:
                continue
            size = sock.recv_into(reader.room())
            if not size:
                return
            reader.received(size)
            before = reader.have
            for part in reader.messages():
                part_size, before = before - reader.have, reader.have
                message = self._part(place, message, part, part_size, arrived)

    def _part(
        self,
        place: "CoordinatorPlace",
        message: Message,
        part: dict,
        size: int,
        arrived: deque[tuple[int, int, Message]],
    ) -> Message:
        """Takes one part; returns the message that the next belongs to."""
        place.recorder.count(place.name, "out", str(part["type"]), size)
        if part["type"] != "update":
            return message
        message.add(part, size)
        if part.get("more"):
            return message
        for name in message.backends():
            if name not in self.known:
                raise InvalidInputError(f"a message names the unknown backend {name!r:.40}")
        now = self.loop.clock()
        self.recorder.add(
            MessageWritten(
                at=now,
                coordinator=place.name,
                proxy=self.number,
                lines=message.lines,
                parts=len(message.sizes),
                largest_part=max(message.sizes) - HEAD,
            )
        )
        seen = UpdateSeen(at=now, proxy=self.number, parts=tuple(message.sizes))
        self.recorder.update_seen(place.name, seen)
        arrived.append((place.channel.enter(now, message.lines) + APPLY, now, message))
        return Message()

    def _apply(self, sock: socket.socket, place: "CoordinatorPlace", came: int, message: Message) -> Wait:
        order = {
            "tables": message.tables,
            "levels": message.levels,
            "out": message.out,
            "back": message.back,
        }
        self.table.apply(order)
        now = self.loop.clock()
        for _, _, lines in message.tables:
            self.set_at.update((name, now) for name, _ in lines)
        self.cold = self.cold and not message.tables
        if message.tables or message.out or message.back:
            self._held()
            self.on_applied(self)
        if message.ticket is not None:
            latency = (self.loop.clock() - came) / MS
            answer = frame(
                {"type": "applied", "node": self.number, "nonce": message.ticket, "latency": latency}
            )
            yield from send(sock, answer, None)
            place.recorder.count(place.name, "in", "applied", len(answer))

    def _usage(self, sock: socket.socket, place: "CoordinatorPlace") -> Wait:
        if not place.reports or not self.classes:
            return
        mean = self.rate / len(self.classes)
        reports = b"".join(
            frame(
                {
                    "type": "usage",
                    "node": self.number,
                    "route": name,
                    "total": int(mean) + (self.random.random() < mean % 1),
                    "errors": 0,
                    "interval": USAGE_EVERY / MS,
                }
            )
            for name in self.classes
        )
        yield from send(sock, reports, None)
        place.recorder.count(place.name, "in", "usage", len(reports), len(self.classes))


class CoordinatorPlace:
    """What proxies and collectors know of one coordinator."""

    def __init__(
        self, recorder: Recorder, name: str, zone: str, address: tuple[str, int], channel: ChannelQueue
    ) -> None:
        self.recorder, self.name, self.zone, self.address, self.channel = (
            recorder,
            name,
            zone,
            address,
            channel,
        )
        self.ended = False  # it was asked to end, was killed or cannot be reached
        self.reports = False  # whether reports are sent to it
        self.others: list[CoordinatorPlace] = []  # where its proxies go when it ends
        self.next_other = 0

    @property
    def region(self) -> str:
        """The region that it stands in."""
        return self.zone.partition("-")[0]

    def successor(self) -> "CoordinatorPlace":
        """Another coordinator that serves, in turn; this one where there is none."""
        serving = [place for place in self.others if not place.ended]
        self.next_other += 1
        return serving[self.next_other % len(serving)] if serving else self


def ping() -> bytes:
    """The frame that asks a coordinator whether it is ready."""
    return frame({"type": "ping"})


def settings_question(number: int) -> bytes:
    """A joining that every coordinator refuses, which tells the settings in force and joins nobody.

    It is refused for the number of the proxy where the settings in force do not allow it, else for its zone.
    """
    return frame({"type": "joined", "node": number, "locality": "-", "w": 0, "cold": True})


def number_allowed(answer: bytes) -> bool:
    """Whether the refusal shows that the number was allowed; InvalidInputError where it is no refusal."""
    message = orjson.loads(answer[HEAD:])
    if message.get("type") != "refused":
        raise InvalidInputError(f"the answer to a settings question is {message!r:.60}")
    return "unknown proxy" not in message["why"]
