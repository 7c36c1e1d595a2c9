"""Measure one `granitespool serve` process with a stand-in of discovery and without proxies."""

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

READY_TIMEOUT = 30.0  # s within which the first ping has to be answered
SETTLE_TIME = 1.5  # s between the first answer and the next ping, in which the planner's first round runs
ANSWER_TIMEOUT = 20.0  # s; an unanswered ping is recorded with this time
EXIT_TIMEOUT = 2.0  # s from SIGTERM until the process is killed
IDLE_TIME = 3.0  # s of the idle measurement
RELOAD_TIMEOUT = 10.0  # s within which a new configuration has to be active
POLL_INTERVAL = 0.01  # s between two polls
HEARTBEAT_INTERVAL = 2.0  # s between empty lines of the watch, set by the protocol
NS_PER_MS = 1_000_000
KB_PER_MB = 1024

Configuration = dict[str, Any]


class DiscoveryStandIn(threading.Thread):
    """Stand-in of discovery that answers each watch in chunks and sends an empty line every two seconds."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(POLL_INTERVAL)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.stop_requested = threading.Event()

    def run(self) -> None:
        """Serve until `stop_requested` is set."""
        watches: list[socket.socket] = []
        heartbeat_at = time.monotonic()
        with self.listener:
            while not self.stop_requested.is_set():
                try:
                    watch, _ = self.listener.accept()
                    watch.recv(4096)
                    watch.sendall(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
                    watches.append(watch)
                except TimeoutError:
                    pass
                if time.monotonic() >= heartbeat_at:
                    heartbeat_at += HEARTBEAT_INTERVAL
                    watches = [watch for watch in watches if _send_heartbeat(watch)]
        for watch in watches:
            watch.close()


def _send_heartbeat(watch: socket.socket) -> bool:
    try:
        watch.sendall(b"1\r\n\n\r\n")
    except OSError:
        watch.close()
        return False
    return True


class ProcessCosts(msgspec.Struct, frozen=True, kw_only=True):
    """Costs of one process; processor times are in ms."""

    start_ms: float
    ready_s: float
    answer_s: float  # s until a ping is answered while the process is idle
    idle_ms: float  # per second
    resident_mb: float
    descriptors: int
    log_lines: int  # number of lines from start to exit, with one reload
    reload_ms: float | None  # None if pings are not answered in time
    reload_s: float | None


class ProcessError(GranitespoolError, RuntimeError):
    """The process did not complete a measured step in time."""


class _CoordinatorProcess:
    """The measured process, its configuration file and its log."""

    def __init__(self, folder: Path, listen: str, configuration: Configuration) -> None:
        """Write the configuration and start the process."""
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
        """Write the configuration file."""
        self.path.write_bytes(orjson.dumps(self.configuration))

    def processor_ms(self) -> float:
        """Return the processor time of the process, which has a single thread."""
        return int(self._proc("schedstat").read_text().split()[0]) / NS_PER_MS

    def resident_mb(self) -> float:
        """Return the resident memory of the process in MiB."""
        status = self._proc("status").read_text().splitlines()
        line = next(line for line in status if line.startswith("VmRSS:"))
        return int(line.split()[1]) / KB_PER_MB

    def descriptors(self) -> int:
        """Return the number of open descriptors of the process."""
        return len(list(self._proc("fd").iterdir()))

    def _proc(self, name: str) -> Path:
        return Path(f"/proc/{self.process.pid}/{name}")

    def end(self) -> None:
        """End the process; kill it after `EXIT_TIMEOUT`."""
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(EXIT_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def measure(sizes: Sizes) -> ProcessCosts:
    """Start a coordinator at these sizes, measure it idle and at a reload, and end it.

    Raises ProcessError if it does not answer, OSError if it cannot be started.
    """
    discovery = DiscoveryStandIn()
    discovery.start()
    with socket.create_server((_own_host(), 0)) as listener:
        host, port = listener.getsockname()
    listen = f"{host}:{port}"
    try:
        with tempfile.TemporaryDirectory() as folder:
            coordinator = _CoordinatorProcess(
                Path(folder), listen, configuration(sizes, listen, discovery.address)
            )
            return _measure_costs(coordinator)
    finally:
        discovery.stop_requested.set()
        discovery.join()


def _own_host() -> str:
    """Return a loopback address that other programs on this machine are unlikely to use."""
    number = os.getpid() % (1 << 16)
    return f"127.77.{number >> 8}.{number & 255}"


def _measure_costs(coordinator: _CoordinatorProcess) -> ProcessCosts:
    reload_ms: float | None = None
    reload_s: float | None = None
    try:
        _wait_for_pong(coordinator)
        ready_s = time.monotonic() - coordinator.started_at
        start_ms = coordinator.processor_ms()
        time.sleep(SETTLE_TIME)
        answer_s = _answer_s(coordinator.listen)
        idle_ms = _idle_ms(coordinator)
        resident_mb = coordinator.resident_mb()
        descriptors = coordinator.descriptors()
        if answer_s < ANSWER_TIMEOUT:
            reload_ms, reload_s = _reload(coordinator)
    finally:
        coordinator.end()
    return ProcessCosts(
        start_ms=start_ms,
        ready_s=ready_s,
        answer_s=answer_s,
        idle_ms=idle_ms,
        resident_mb=resident_mb,
        descriptors=descriptors,
        log_lines=len(coordinator.log_path.read_bytes().splitlines()),
        reload_ms=reload_ms,
        reload_s=reload_s,
    )


def _idle_ms(coordinator: _CoordinatorProcess) -> float:
    """Return the processor time of an idle second in ms."""
    before = coordinator.processor_ms()
    started_at = time.monotonic()
    time.sleep(IDLE_TIME)
    return (coordinator.processor_ms() - before) / (time.monotonic() - started_at)


def _answer_s(listen: str) -> float:
    """Return the seconds until a ping is answered, at most ANSWER_TIMEOUT."""
    host, _, port = listen.rpartition(":")
    started_at = time.monotonic()
    try:
        with socket.create_connection((host, int(port)), ANSWER_TIMEOUT) as sock:
            sock.settimeout(ANSWER_TIMEOUT)
            sock.sendall(frame({"type": "ping"}))
            sock.recv(100)
    except TimeoutError:
        return ANSWER_TIMEOUT
    return time.monotonic() - started_at


def _reload(coordinator: _CoordinatorProcess) -> tuple[float, float]:
    """Return processor time in ms and wall time in s from SIGHUP until a changed file is active."""
    coordinator.configuration["settings"]["rules"]["stop_sending_within_us"] += 1000
    coordinator.write()
    before = coordinator.processor_ms()
    signalled_at = time.monotonic()
    coordinator.process.send_signal(signal.SIGHUP)
    _wait_for_event(coordinator, b'"reloaded"')
    return coordinator.processor_ms() - before, time.monotonic() - signalled_at


def _wait_for_pong(coordinator: _CoordinatorProcess) -> None:
    host, _, port = coordinator.listen.rpartition(":")
    deadline = time.monotonic() + READY_TIMEOUT
    while time.monotonic() < deadline and coordinator.process.poll() is None:
        try:
            with socket.create_connection((host, int(port)), 1.0) as sock:
                sock.settimeout(READY_TIMEOUT)
                sock.sendall(frame({"type": "ping"}))
                if b"pong" in sock.recv(100):
                    return
        except OSError:
            time.sleep(POLL_INTERVAL)
    raise ProcessError("the coordinator did not answer a ping")


def _wait_for_event(coordinator: _CoordinatorProcess, event: bytes) -> None:
    deadline = time.monotonic() + RELOAD_TIMEOUT
    while time.monotonic() < deadline:
        if event in coordinator.log_path.read_bytes():
            return
        time.sleep(POLL_INTERVAL)
    raise ProcessError(f"the log has no event {event.decode()} in time")
