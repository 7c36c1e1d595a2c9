"""Stand-ins for the platform of a coordinator: discovery, backends, proxies, collectors and the channel.

They follow the users' pages on the protocol and on the deployment, use the standard library alone, and run in
one process with asyncio. The coordinators are separate processes, started with the `run` line of the deploy
file. All addresses are on loopback, all ports are free ones.
"""

import asyncio
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections import defaultdict
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes
SLACK = 0.3  # s by which the time limits of the rules are longer on sockets (PROTOCOL)
START_SLACK = 1.0  # s after the first answer of a coordinator before which no time limit starts (PROTOCOL)

Json = dict[str, Any]


def reserve_port() -> socket.socket:
    """Return a socket on a free TCP port of the loopback address, which keeps the port from other programs.

    It does not listen. A program that sets SO_REUSEADDR, as the coordinator does, can listen there meanwhile.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    return sock


class Record:
    """The record of a run: one line an event, with the seconds since the beginning."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.time()

    def now(self) -> float:
        """Return the seconds since the beginning."""
        return time.time() - self.began

    def write(self, kind: str, *words: object) -> None:
        """Write one event."""
        self.file.write(f"{self.now():9.3f} {kind} {' '.join(map(str, words))}\n")

    def say(self, text: str) -> None:
        """Write a line for the reader, and print it."""
        self.write("note", text)
        print(f"{self.now():8.2f} {text}", flush=True)


class Backend:
    """A backend: it answers health checks and requests, hangs, or is down."""

    def __init__(self, record: Record, name: str, zone: str, work: float, spread: float) -> None:
        self.record, self.name, self.zone = record, name, zone
        self.work, self.spread = work, spread  # s of a request: the mean, and the sigma of its logarithm
        self.port = 0
        self.hangs = False
        self.since_ms = 0
        self.server: asyncio.Server | None = None
        self.streams: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """End as a process does: its connections are reset, and new ones are refused."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.streams):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.streams.add(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ")[1]
            while self.hangs:
                await asyncio.sleep(0.05)
                if reader.at_eof():
                    return
            if target.startswith("/work/"):
                self.record.write("run", self.name, target.removeprefix("/work/"))
                share = random.lognormvariate(-self.spread * self.spread / 2, self.spread)
                await asyncio.sleep(self.work * share)
            body = b"util=0.30"
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % len(body) + body
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.streams.discard(writer)
            writer.close()


class Discovery:
    """Discovery and its agents: the endpoint list, changed by the script, and the watches on it."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.index = 1
        self.rows: dict[str, Json] = {}
        self.changed_at: dict[str, int] = {}  # list version of each row
        self.told: dict[str, float] = {}  # since when a backend is listed as draining or gone
        self.ever: set[str] = set()
        self.port = 0
        self.wakes: set[asyncio.Event] = set()

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def list_backend(self, backend: Backend, status: str = "ready") -> None:
        """Change the row of one backend: a new version of the list, told at once to all watches."""
        self.index += 1
        self.changed_at[backend.name] = self.index
        self.ever.add(backend.name)
        self.rows[backend.name] = {
            "name": backend.name,
            "address": f"{HOST}:{backend.port}",
            "zone": backend.zone,
            "type": "std",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": backend.since_ms,
        }
        if status == "ready":
            self.told.pop(backend.name, None)
        else:
            self.told.setdefault(backend.name, self.record.now())
        self.record.write("list", self.index, backend.name, status)
        for wake in self.wakes:
            wake.set()

    def snapshot(self) -> Json:
        """Return the whole list."""
        rows = [row for row in self.rows.values() if row["status"] != "gone"]
        return {"index": self.index, "snapshot": True, "endpoints": [dict(row) for row in rows]}

    def changes(self, after: int) -> Json:
        """Return what changed after a version."""
        rows = [row for name, row in self.rows.items() if self.changed_at[name] > after]
        return {"index": self.index, "snapshot": False, "endpoints": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        wake = asyncio.Event()
        try:
            target = (await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1]
            if "watch=1" not in target:
                body = json.dumps(self.snapshot()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                return
            at = int(target.partition("after=")[2] or 0)
            self.record.write("watch", f"after={at}")
            self.wakes.add(wake)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            message = self.changes(at) if 0 < at <= self.index else self.snapshot()
            while True:
                line = json.dumps(message).encode() + b"\n" if message else b"\n"
                at = message["index"] if message else at
                writer.write(b"%x\r\n" % len(line) + line + b"\r\n")
                await writer.drain()
                wake.clear()
                if self.index == at:
                    with suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(wake.wait(), 2.0)
                message = self.changes(at) if self.index > at else {}
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.wakes.discard(wake)
            writer.close()


class Coordinator:
    """A coordinator's process, started by the deploy file's `run`, and the channel of its orders."""

    def __init__(
        self, record: Record, folder: Path, name: str, discovery: Discovery, config: Json, rate: float
    ) -> None:
        self.record, self.folder, self.name, self.discovery = record, folder, name, discovery
        self.reserved = reserve_port()
        self.port = int(self.reserved.getsockname()[1])
        self.path = folder / f"{name}.json"
        self.config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            **config,
        }
        self.environment: dict[str, str] = {}
        self.process: subprocess.Popen[bytes] | None = None
        self.answered_at = float("inf")  # when it first answered after its last start
        self.rate = rate  # lines a second
        self.sent_until = 0.0  # when the channel has sent all that waits in it
        self.most_waiting = 0.0  # lines

    async def start(self) -> None:
        """Start the process and wait for its first answer."""
        self.config["seed"] = f"{random.getrandbits(64):016x}"
        self.path.write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(self.folder),
            "LB_NAME": self.name,
            "LB_LISTEN": self.config["listen"],
            "LB_DISCOVERY": self.config["discovery"],
            "LB_CONFIG": str(self.path),
            **self.environment,
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.sent_until = 0.0
        deadline = time.time() + 30
        while time.time() < deadline:
            with suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(frame({"type": "ping"}))
                answer = await asyncio.wait_for(read_frame(reader), 1)
                writer.close()
                if answer.get("type") == "pong":
                    self.answered_at = self.record.now()
                    self.record.say(f"{self.name} answers")
                    return
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{self.name} does not answer")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the program that `run` started."""
        assert self.process
        self.record.say(f"{number.name} to {self.name}")
        os.kill(self.process.pid, number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.process.wait(10)

    def end(self) -> None:
        """End the process, if it runs."""
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10)

    def pass_channel(self, lines: float) -> float:
        """Put a message of so many lines into the channel; return when it leaves (s of the record)."""
        now = self.record.now()
        self.sent_until = max(now, self.sent_until) + lines / self.rate
        self.most_waiting = max(self.most_waiting, (self.sent_until - now) * self.rate)
        return self.sent_until


def frame(message: Json) -> bytes:
    """Encode a message."""
    body = json.dumps(message).encode()
    return struct.pack("<I", len(body)) + body


async def read_frame(reader: asyncio.StreamReader) -> Json:
    """Read a message."""
    (size,) = struct.unpack("<I", await reader.readexactly(4))
    message: Json = json.loads(await reader.readexactly(size))
    return message


class Proxy:
    """A proxy: it follows its tables, and judges no backend itself."""

    def __init__(self, world: "World", number: int, zone: str, homes: list[Coordinator], rate: float) -> None:
        self.world, self.number, self.zone, self.homes, self.rate = world, number, zone, homes, rate
        self.random = random.Random(number)
        self.tables: dict[str, dict[str, float]] = {}
        self.levels: dict[str, tuple[float, int]] = {}
        self.out: set[str] = set()
        self.is_cold = True  # whether it holds no table that was ordered
        self.is_cut = False  # whether it reaches no coordinator
        self.coordinator: Coordinator | None = None  # the one it is joined to
        self.joined_at = float("inf")
        self.writer: asyncio.StreamWriter | None = None
        self.applied_until = 0.0
        self.sums: defaultdict[str, list[int]] = defaultdict(lambda: [0, 0])  # class -> [total, errors]

    def bootstrap(self, count: int) -> None:
        """Draw the table that it starts with from the listed backends, in its zone if three are there."""
        rows = [row for row in self.world.discovery.rows.values() if row["status"] == "ready"]
        near = [row for row in rows if row["zone"] == self.zone]
        names = [row["name"] for row in (near if len(near) >= 3 else rows)]
        lines = dict.fromkeys(self.random.sample(names, min(count, len(names))), 1.0)
        self.tables = {name: dict(lines) for name in self.world.classes}

    def lines(self, request_class: str) -> dict[str, float]:
        """Return the lines that it can pick for a class now."""
        bound = request_class in self.world.zone_bound
        return {
            name: weight
            for name, weight in self.tables.get(request_class, {}).items()
            if weight > 0
            and name not in self.out
            and not (bound and self.world.backends[name].zone != self.zone)
        }

    async def run(self) -> None:
        """Keep a stream to a coordinator."""
        while True:
            for coordinator in self.homes:
                if not self.is_cut:
                    with suppress(OSError, asyncio.IncompleteReadError):
                        await self._stream(coordinator)
                    self._leave()
                    break  # it dials the same one again, and another one only if that does not answer
            await asyncio.sleep(self.random.uniform(*self.world.redial))

    def _leave(self) -> None:
        if self.coordinator:
            self.world.record.write("left", self.number, self.coordinator.name)
        self.coordinator = None
        self.joined_at = float("inf")
        if self.writer:
            self.writer.transport.abort()
        self.writer = None

    def cut(self, is_cut: bool) -> None:
        """Cut it off from all coordinators without a sign, or end that; it goes on forwarding.

        Its stream stays open and silent, and is reset once the cut is over. What was on its way is lost.
        """
        self.is_cut = is_cut
        if is_cut and self.writer:
            self.writer.transport.pause_reading()  # type: ignore[attr-defined]
            self.world.record.write("cut", self.number, self.coordinator.name if self.coordinator else "-")
            self.coordinator = None
            self.joined_at = float("inf")
        elif self.writer:
            self.writer.transport.abort()

    async def _stream(self, coordinator: Coordinator) -> None:
        reader, writer = await asyncio.open_connection(HOST, coordinator.port)
        self.writer = writer
        writer.write(
            frame(
                {
                    "type": "joined",
                    "node": self.number,
                    "locality": self.zone,
                    "w": self.rate,
                    "cold": self.is_cold,
                }
            )
        )
        self.coordinator, self.joined_at = coordinator, self.world.record.now()
        self.world.record.write("joined", self.number, coordinator.name)
        usage = asyncio.create_task(self._report_usage(writer))
        parts: list[Json] = []
        try:
            while True:
                message = await read_frame(reader)
                if message.get("type") != "update":
                    continue
                parts.append(message)
                if not message.get("more"):
                    self._enter_channel(coordinator, writer, parts)
                    parts = []
        finally:
            usage.cancel()

    def _enter_channel(
        self, coordinator: Coordinator, writer: asyncio.StreamWriter, parts: list[Json]
    ) -> None:
        world = self.world
        entered = world.record.now()
        lines = world.envelope + sum(
            len(part.get("lines", ()))
            + len(part.get("out", ()))
            + len(part.get("back", ()))
            + ("level" in part)
            + ("ticket" in part)
            + bool(part.get("whole"))
            for part in parts
        )
        leaves = coordinator.pass_channel(lines)
        arrives = max(leaves + self.random.uniform(*world.transit), self.applied_until)
        self.applied_until = arrives
        asyncio.get_running_loop().call_later(arrives - entered, self._apply, writer, parts, entered)

    def _apply(self, writer: asyncio.StreamWriter, parts: list[Json], entered: float) -> None:
        if self.writer is not writer or self.is_cut:
            return  # what was on its way is lost with the stream
        world = self.world
        for part in parts:
            classes = part.get("classes") or world.classes
            names = [
                *(name for name, _ in part.get("lines", ())),
                *part.get("out", ()),
                *part.get("back", ()),
            ]
            if any(name not in world.discovery.ever for name in names) or set(classes) - set(world.classes):
                world.record.write("reset", self.number, "it cannot use a message")
                writer.transport.abort()
                return
            for request_class in classes:
                table = self.tables.setdefault(request_class, {})
                if part.get("whole"):
                    table.clear()
                    self.levels.pop(request_class, None)
                    self.is_cold = False
                for name, weight in part.get("lines", ()):
                    table[name] = weight
                    if not weight:
                        del table[name]
                if "level" in part:
                    self.levels[request_class] = (part["level"], part["retry"])
            self.out |= set(part.get("out", ()))
            self.out -= set(part.get("back", ()))
            world.record.write("applied", self.number, json.dumps(part))
            if "ticket" in part:
                latency = (world.record.now() - entered) * 1000
                writer.write(
                    frame(
                        {"type": "applied", "node": self.number, "nonce": part["ticket"], "latency": latency}
                    )
                )
        world.on_applied(self)

    async def _report_usage(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(1)
            for request_class, (total, errors) in list(self.sums.items()):
                if total and not self.is_cut:
                    writer.write(
                        frame(
                            {
                                "type": "usage",
                                "node": self.number,
                                "route": request_class,
                                "total": total,
                                "errors": errors,
                                "interval": 1000.0,
                            }
                        )
                    )
            self.sums.clear()

    async def forward(self) -> None:
        """Forward requests of its clients for as long as the run lasts."""
        world = self.world
        names, shares = list(world.classes), list(world.classes.values())
        tasks = set()
        while True:
            await asyncio.sleep(self.random.expovariate(self.rate))
            request_class = self.random.choices(names, shares)[0]
            task = asyncio.create_task(self._request(request_class))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def _request(self, request_class: str) -> None:
        world = self.world
        world.requests += 1
        request = f"{self.number}-{world.requests}-{request_class}"
        self.sums[request_class][0] += 1
        level, how = self.levels.get(request_class, (1.0, world.default_retry))
        if self.random.random() >= level:
            world.record.write("shed", request)
            return
        tried: set[str] = set()
        for attempt in range(2):
            lines = {name: weight for name, weight in self.lines(request_class).items() if name not in tried}
            if not lines:
                break
            name = self.random.choices(list(lines), list(lines.values()))[0]
            tried.add(name)
            outcome = await self._try(request, request_class, name)
            if outcome == "ok":
                return
            if attempt or how != 1 or outcome != "refused":
                break
        if not tried:
            world.record.write("no-backend", request)
            world.without_backend += 1
        self.sums[request_class][1] += 1

    async def _try(self, request: str, request_class: str, name: str) -> str:
        world = self.world
        world.on_send(self, request, name)
        began, outcome = time.time(), "refused"
        timeout = world.try_timeout[request_class]
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(HOST, world.backends[name].port)
                outcome = "error"
                try:
                    writer.write(f"GET /work/{request} HTTP/1.1\r\nHost: b\r\n\r\n".encode())
                    if (await reader.readline()).startswith(b"HTTP/1.1 200"):
                        outcome = "ok"
                finally:
                    writer.transport.abort()
        except TimeoutError:
            outcome = "timeout"
        except OSError:
            pass
        world.record.write("answered", request, name, outcome)
        if self.coordinator:
            total, errors, spent = world.heard[self.coordinator, self.zone].get(name, (0, 0, 0.0))
            spent += time.time() - began if outcome == "ok" else 0
            world.heard[self.coordinator, self.zone][name] = (total + 1, errors + (outcome != "ok"), spent)
        return outcome


class World:
    """All stand-ins of one run; a case sets it up, and reads its rule from what the proxies do."""

    def __init__(self, folder: Path, classes: dict[str, float]) -> None:
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.record = Record(folder / "record.txt")
        self.discovery = Discovery(self.record)
        self.backends: dict[str, Backend] = {}
        self.coordinators: list[Coordinator] = []
        self.proxies: list[Proxy] = []
        self.classes = classes  # name -> share of the requests
        self.zone_bound: set[str] = set()
        self.try_timeout = dict.fromkeys(classes, 2.0)  # s
        self.default_retry = 0
        self.envelope = 3.0  # lines
        self.transit = (0.097, 0.33)  # s from the channel to the proxy
        self.redial = (0.13, 0.5)  # s
        self.report_delay = (0.42, 1.6)  # s
        self.heard: defaultdict[tuple[Coordinator, str], dict[str, tuple[int, int, float]]] = defaultdict(
            dict
        )
        self.requests = 0
        self.without_backend = 0  # requests
        self.sends: dict[str, int] = defaultdict(int)
        self.on_send_hooks: list[Callable[[Proxy, str, str], None]] = []
        self.on_applied_hooks: list[Callable[[Proxy], None]] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def add_backend(self, name: str, zone: str, work: float = 0.02, spread: float = 0.0) -> Backend:
        """Start a backend; it is not listed yet."""
        backend = self.backends[name] = Backend(self.record, name, zone, work, spread)
        await backend.start()
        return backend

    def spawn(self, coroutine: Awaitable[None]) -> None:
        """Run a coroutine until the end of the run."""

        async def guarded() -> None:
            try:
                await coroutine
            except asyncio.CancelledError:
                raise
            except Exception:
                traceback.print_exc()
                raise

        self.tasks.append(asyncio.create_task(guarded()))

    def add_proxy(
        self, number: int, zone: str, homes: list[Coordinator], rate: float, bootstrap: int
    ) -> Proxy:
        """Start a proxy and its clients."""
        proxy = Proxy(self, number, zone, homes, rate)
        proxy.bootstrap(bootstrap)
        self.proxies.append(proxy)
        self.spawn(proxy.run())
        self.spawn(proxy.forward())
        return proxy

    def add_collector(self, coordinator: Coordinator, zone: str) -> None:
        """Start the collector of a zone for one coordinator."""
        self.spawn(self._collect(coordinator, zone))

    async def _collect(self, coordinator: Coordinator, zone: str) -> None:
        while True:
            with suppress(OSError, asyncio.IncompleteReadError):
                _, writer = await asyncio.open_connection(HOST, coordinator.port)
                writer.write(frame({"type": "collector", "locality": zone}))
                while not writer.transport.is_closing():
                    await asyncio.sleep(1)
                    sums, self.heard[coordinator, zone] = self.heard[coordinator, zone], {}
                    asyncio.get_running_loop().call_later(
                        random.uniform(*self.report_delay), self._report, writer, zone, sums
                    )
            await asyncio.sleep(0.2)

    @staticmethod
    def _report(writer: asyncio.StreamWriter, zone: str, sums: dict[str, tuple[int, int, float]]) -> None:
        for name, (total, errors, spent) in sums.items():
            if not writer.transport.is_closing():
                writer.write(
                    frame(
                        {
                            "type": "heard",
                            "locality": zone,
                            "endpoint": name,
                            "total": total,
                            "errors": errors,
                            "rtt": 1000 * spent / (total - errors) if total > errors else 0.0,
                            "interval": 1000.0,
                        }
                    )
                )

    def on_send(self, proxy: Proxy, request: str, name: str) -> None:
        """Record a request that a proxy sends to a backend."""
        self.record.write("sent", request, name)
        self.sends[name] += 1
        for hook in self.on_send_hooks:
            hook(proxy, request, name)

    def on_applied(self, proxy: Proxy) -> None:
        """Tell the case that a proxy has applied a message."""
        for hook in self.on_applied_hooks:
            hook(proxy)

    def close(self) -> None:
        """End all processes, tasks and files of the run."""
        for coordinator in self.coordinators:
            coordinator.end()
            if os.environ.get("KEEP_LOGS"):
                (Path(os.environ["KEEP_LOGS"]) / f"{coordinator.name}.log").write_bytes(
                    (self.folder / f"{coordinator.name}.log").read_bytes()
                )
        for task in self.tasks:
            task.cancel()
        self.record.file.close()
        self.temporary.cleanup()


class DrainCheck:
    """The rule on drains: no joined proxy sends to a backend later than the grace after it was told.

    The limit runs from the latest of: the list told it, the proxy joined, the coordinator first answered and
    one second more. It is longer by the slack on sockets.
    """

    def __init__(self, world: World, grace: float) -> None:
        self.world, self.grace = world, grace
        self.late: list[str] = []
        world.on_send_hooks.append(self._on_send)

    def _on_send(self, proxy: Proxy, request: str, name: str) -> None:
        told = self.world.discovery.told.get(name)
        if told is None or proxy.coordinator is None:
            return
        now = self.world.record.now()
        since = max(told, proxy.joined_at, proxy.coordinator.answered_at + START_SLACK)
        if now - since > self.grace + SLACK:
            line = f"{request} to {name}, {now - since:.2f} s after it was told and the proxy had joined"
            self.late.append(line)
            self.world.record.write("LATE", line)


def settings(world: World, zones: list[str], proxies: int, **changes: Json) -> Json:
    """Return the settings of a small deployment; `changes` go over the object of their name."""
    names = list(world.classes)
    document: Json = {
        "balancers": 1,
        "index": 0,
        "zone": zones[0],
        "zones": zones,
        "membership_mode": "automatic",
        "period_us": 4000,
        "kind_of_service": "control",
        "weights": "rough",
        "worth_by": "request",
        "classes": [
            {
                "name": name,
                "semantics": "single_shot" if name == "purchase" else "free",
                "aim_us": 1_500_000,
                "give_up_us": 5_000_000,
                "worth": 5.0 if name == "purchase" else 2.0,
                "late_share": 0.2,
                "key_scope": "all",
                "window_us": 5_000_000,
            }
            for name in names
        ],
        "family_info": {
            "admit": "fraction",
            "bootstrap": 5,
            "buffer_for_us": 300_000,
            "by_zone": False,
            "choice": "random",
            "cost_per_line": 0.04,
            "counted_over_us": 10_000_000,
            "default_retry": world.default_retry,
            "egress_per_s": 900.0,
            "empty_for_us": 4_900_000,
            "envelope": world.envelope,
            "ingest_rate": 300.0,
            "messages_most": 30,
            "min_conn_cap": 245.0,
            "most_waiting": 1800.0,
            "one_owner": False,
            "outlier_after": 0,
            "proxy_count": proxies,
            "push_delay_us": 209_000,
            "report_every_us": 1_000_000,
            "slices": 0,
            "try_factor": 1.2,
            "worst_transit_us": 522_500,
            "write_classes": [name == "purchase" for name in names],
            "write_life_us": 5_020_000,
            "zone_bound": [name in world.zone_bound for name in names],
        },
        "permissions": {"probes": True, "peers": False, "connect_timeout_us": 250_000, "multiplex": 32},
        "report": {"fields": ["util"], "how": "answers"},
        "rules": {
            "ask_within_us": 10_000_000,
            "cold_from": 0.17,
            "cold_us": 17_000_000,
            "fall_multiple": 4.0,
            "fall_us": 3_000_000,
            "stop_sending_within_us": 3_300_000,
        },
    }
    for key, change in changes.items():
        document[key] = {**document[key], **change} if isinstance(document.get(key), dict) else change
    return document


def main(folder: Path, classes: dict[str, float], play: Callable[[World], Awaitable[bool]]) -> None:
    """Play a case and exit: 1 if its rule was broken, 0 if it held, 2 if the case could not run."""

    async def run() -> int:
        world = World(folder, classes)
        this = asyncio.current_task()
        assert this
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this.cancel)
        code = NOT_RUN
        try:
            await world.discovery.start()
            is_broken = await asyncio.wait_for(play(world), 115)
            world.record.say("the rule was BROKEN" if is_broken else "the rule held")
            code = BROKEN if is_broken else HELD
        except (Exception, asyncio.CancelledError):
            traceback.print_exc()
        finally:
            # What the end of the run cancels is no news
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            world.close()
        return code

    code = asyncio.run(run())
    sys.stdout.flush()
    os._exit(code)
