"""One `granitespool serve` as a process before a stand-in of discovery's agent, without proxies."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import msgspec
import orjson

from bench.capacity.sizes import Sizes
from bench.capacity.wire import configuration
from granitespool.errors import GranitespoolError
from granitespool.net.frames import frame

READY_TIMEOUT = 30.0  # s until the first ping has to be answered
SETTLE = 1.5  # s between the first answer and the next ping: the planner's first round lies between
ANSWER_TIMEOUT = 20.0  # s after which a ping counts as not answered, and is told as that many
EXIT_TIMEOUT = 2.0  # s that a process has for its end before it is killed
IDLE = 3.0  # s of the idle measurement
RELOAD_TIMEOUT = 10.0  # s until a new configuration has to be in force
POLL_INTERVAL = 0.01  # s between two looks
HEARTBEAT_INTERVAL = 2.0  # s between empty lines of the watch: the protocol's
NS_PER_MS = 1_000_000
KB_PER_MB = 1024

Configuration = dict[str, Any]


class Agent(threading.Thread):
    """Discovery's agent: answers each watch with an open chunked answer, an empty line each two seconds."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(POLL_INTERVAL)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.ended = threading.Event()

    def run(self) -> None:
        """Serves until `ended` is set."""
        watches: list[socket.socket] = []
        beat_at = time.monotonic()
        with self.listener:
            while not self.ended.is_set():
                try:
                    watch, _ = self.listener.accept()
                    watch.recv(4096)
                    watch.sendall(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
                    watches.append(watch)
                except TimeoutError:
                    pass
                if time.monotonic() >= beat_at:
                    beat_at += HEARTBEAT_INTERVAL
                    watches = [watch for watch in watches if _beat(watch)]
        for watch in watches:
            watch.close()


def _beat(watch: socket.socket) -> bool:
    try:
        watch.sendall(b"1\r\n\n\r\n")
    except OSError:
        watch.close()
        return False
    return True


class Measured(msgspec.Struct, frozen=True, kw_only=True):
    """Costs of one process; times of the processor in ms."""

    start_ms: float
    ready_s: float
    answer_s: float  # until a ping is answered while the process idles
    idle_ms: float  # a second
    resident_mb: float
    descriptors: int
    log_lines: int  # from the start to the end, one reload among them
    reload_ms: float | None  # None where pings are not answered in time
    reload_s: float | None


class ProcessError(GranitespoolError, RuntimeError):
    """The process did not do in time what is measured."""


class _Subject:
    """The process, its configuration file and its log."""

    def __init__(self, folder: Path, listen: str, configuration: Configuration) -> None:
        """Starts it."""
        self.listen = listen
        self.configuration = configuration
        self.path = folder / "config.json"
        self.log_path = folder / "log"
        self.write()
        self.started_at = time.monotonic()
        command = [sys.executable, "-m", "granitespool", "serve", "--config", str(self.path)]
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(command, stdout=log)

    def write(self) -> None:
        """Writes its configuration."""
        self.path.write_bytes(orjson.dumps(self.configuration))

    def spent_ms(self) -> float:
        """Its processor time; it has one thread."""
        return int(self._proc("schedstat").read_text().split()[0]) / NS_PER_MS

    def resident_mb(self) -> float:
        """Its resident memory."""
        status = self._proc("status").read_text().splitlines()
        line = next(line for line in status if line.startswith("VmRSS:"))
        return int(line.split()[1]) / KB_PER_MB

    def descriptors(self) -> int:
        """Its open descriptors."""
        return len(list(self._proc("fd").iterdir()))

    def _proc(self, name: str) -> Path:
        return Path(f"/proc/{self.process.pid}/{name}")

    def end(self) -> None:
        """Ends it; one that does not end in time is killed."""
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(EXIT_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def measure(sizes: Sizes) -> Measured:
    """Starts one coordinator at these sizes, lets it idle, gives it a changed file, and ends it.

    Raises ProcessError where it does not answer, OSError where it cannot be started."""
    agent = Agent()
    agent.start()
    with socket.create_server((_own_host(), 0)) as free:
        host, port = free.getsockname()
    listen = f"{host}:{port}"
    try:
        with tempfile.TemporaryDirectory() as folder:
            subject = _Subject(Path(folder), listen, configuration(sizes, listen, agent.address))
            return _measured(subject)
    finally:
        agent.ended.set()
        agent.join()


def _own_host() -> str:
    """A loopback address that no other program on this machine is likely to use."""
    number = os.getpid() % (1 << 16)
    return f"127.77.{number >> 8}.{number & 255}"


def _measured(subject: _Subject) -> Measured:
    reload_ms: float | None = None
    reload_s: float | None = None
    try:
        _wait_for_pong(subject)
        ready_s = time.monotonic() - subject.started_at
        start_ms = subject.spent_ms()
        time.sleep(SETTLE)
        answer_s = _answer_s(subject.listen)
        idle_ms = _idle_ms(subject)
        resident_mb = subject.resident_mb()
        descriptors = subject.descriptors()
        if answer_s < ANSWER_TIMEOUT:
            reload_ms, reload_s = _reload(subject)
    finally:
        subject.end()
    return Measured(
        start_ms=start_ms,
        ready_s=ready_s,
        answer_s=answer_s,
        idle_ms=idle_ms,
        resident_mb=resident_mb,
        descriptors=descriptors,
        log_lines=len(subject.log_path.read_bytes().splitlines()),
        reload_ms=reload_ms,
        reload_s=reload_s,
    )


def _idle_ms(subject: _Subject) -> float:
    """Processor time of an idle second in ms."""
    before = subject.spent_ms()
    began = time.monotonic()
    time.sleep(IDLE)
    return (subject.spent_ms() - before) / (time.monotonic() - began)


def _answer_s(listen: str) -> float:
    """Seconds until a ping is answered, at most ANSWER_TIMEOUT."""
    host, _, port = listen.rpartition(":")
    began = time.monotonic()
    try:
        with socket.create_connection((host, int(port)), ANSWER_TIMEOUT) as sock:
            sock.settimeout(ANSWER_TIMEOUT)
            sock.sendall(frame({"type": "ping"}))
            sock.recv(100)
    except TimeoutError:
        return ANSWER_TIMEOUT
    return time.monotonic() - began


def _reload(subject: _Subject) -> tuple[float, float]:
    """Processor time in ms and wall time in s from SIGHUP until a changed file is in force."""
    subject.configuration["settings"]["rules"]["stop_sending_within_us"] += 1000
    subject.write()
    before = subject.spent_ms()
    asked_at = time.monotonic()
    subject.process.send_signal(signal.SIGHUP)
    _wait_for_event(subject, b'"reloaded"')
    return subject.spent_ms() - before, time.monotonic() - asked_at


def _wait_for_pong(subject: _Subject) -> None:
    host, _, port = subject.listen.rpartition(":")
    until = time.monotonic() + READY_TIMEOUT
    while time.monotonic() < until and subject.process.poll() is None:
        try:
            with socket.create_connection((host, int(port)), 1.0) as sock:
                sock.settimeout(READY_TIMEOUT)
                sock.sendall(frame({"type": "ping"}))
                if b"pong" in sock.recv(100):
                    return
        except OSError:
            time.sleep(POLL_INTERVAL)
    raise ProcessError("the coordinator did not answer a ping")


def _wait_for_event(subject: _Subject, event: bytes) -> None:
    until = time.monotonic() + RELOAD_TIMEOUT
    while time.monotonic() < until:
        if event in subject.log_path.read_bytes():
            return
        time.sleep(POLL_INTERVAL)
    raise ProcessError(f"the log shows no {event.decode()}")
