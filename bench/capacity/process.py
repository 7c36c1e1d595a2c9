"""One `granitespool serve` as a process before a stand-in of discovery's agent, without proxies."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import msgspec
import orjson

from bench.capacity.fleet import Sizes, configuration
from granitespool.net.frames import frame

READY_WITHIN = 30.0  # s until the first ping has to be answered
SETTLE = 1.5  # s between the first answer and the next ping: the planner's first round lies between
ANSWER_WITHIN = 20.0  # s after which a ping counts as not answered, and is told as that many
END_WITHIN = 2.0  # s that a process has for its end before it is killed
IDLE = 3.0  # s of the idle measurement
RELOAD_WITHIN = 10.0  # s until a new configuration has to be in force
PAUSE = 0.01  # s between two looks
BEAT = 2.0  # s between empty lines of the watch: the protocol's
NS_PER_MS = 1_000_000
KB_PER_MB = 1024


class Agent(threading.Thread):
    """Discovery's agent: answers each watch with an open chunked answer, an empty line each two seconds."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(PAUSE)
        self.address = "127.0.0.1:{}".format(self.listener.getsockname()[1])
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
                    beat_at += BEAT
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


class Measured(msgspec.Struct, frozen=True):
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


def measure(sizes: Sizes) -> Measured:
    """Starts one coordinator at these sizes, lets it idle, gives it a changed file, and ends it."""
    agent = Agent()
    agent.start()
    host = _own_host()
    with socket.create_server((host, 0)) as free:
        listen = "{}:{}".format(*free.getsockname())
    told = configuration(sizes, listen, agent.address)
    try:
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")
            _write(path, told)
            return _measured(path, told, listen, os.path.join(folder, "log"))
    finally:
        agent.ended.set()
        agent.join()


def _own_host() -> str:
    """A loopback address that no other program on this machine is likely to use."""
    number = os.getpid() % (1 << 16)
    return f"127.77.{number >> 8}.{number & 255}"


def _write(path: str, told: dict) -> None:
    with open(path, "wb") as file:
        file.write(orjson.dumps(told))


def _measured(path: str, told: dict, listen: str, log_path: str) -> Measured:
    began = time.monotonic()
    with open(log_path, "wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "granitespool", "serve", "--config", path], stdout=log
        )
    try:
        _wait_for_pong(listen, process)
        ready_s, start_ms = time.monotonic() - began, _spent_ms(process.pid)
        time.sleep(SETTLE)
        answer_s = _answer_s(listen)
        before, idle_began = _spent_ms(process.pid), time.monotonic()
        time.sleep(IDLE)
        idle_ms = (_spent_ms(process.pid) - before) / (time.monotonic() - idle_began)
        resident_mb, descriptors = _resident_mb(process.pid), len(os.listdir(f"/proc/{process.pid}/fd"))
        reload_ms = reload_s = None
        if answer_s < ANSWER_WITHIN:
            reload_ms, reload_s = _reloaded(process, path, told, log_path)
    finally:
        _end(process)
    with open(log_path, "rb") as log:
        log_lines = len(log.readlines())
    return Measured(
        start_ms, ready_s, answer_s, idle_ms, resident_mb, descriptors, log_lines, reload_ms, reload_s
    )


def _answer_s(listen: str) -> float:
    """Seconds until a ping is answered, at most ANSWER_WITHIN."""
    host, _, port = listen.rpartition(":")
    began = time.monotonic()
    try:
        with socket.create_connection((host, int(port)), ANSWER_WITHIN) as sock:
            sock.settimeout(ANSWER_WITHIN)
            sock.sendall(frame({"type": "ping"}))
            sock.recv(100)
    except TimeoutError:
        return ANSWER_WITHIN
    return time.monotonic() - began


def _reloaded(process: subprocess.Popen, path: str, told: dict, log_path: str) -> tuple[float, float]:
    """Processor time in ms and wall time in s from SIGHUP until a changed file is in force."""
    told["settings"]["rules"]["stop_sending_within_us"] += 1000
    _write(path, told)
    before, asked = _spent_ms(process.pid), time.monotonic()
    process.send_signal(signal.SIGHUP)
    _wait_for_event(log_path, b'"reloaded"')
    return _spent_ms(process.pid) - before, time.monotonic() - asked


def _end(process: subprocess.Popen) -> None:
    """Ends the process; one that does not end in time is killed."""
    process.send_signal(signal.SIGTERM)
    try:
        process.wait(END_WITHIN)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def _wait_for_pong(listen: str, process: subprocess.Popen) -> None:
    host, _, port = listen.rpartition(":")
    until = time.monotonic() + READY_WITHIN
    while time.monotonic() < until and process.poll() is None:
        try:
            with socket.create_connection((host, int(port)), 1.0) as sock:
                sock.settimeout(READY_WITHIN)
                sock.sendall(frame({"type": "ping"}))
                if b"pong" in sock.recv(100):
                    return
        except OSError:
            time.sleep(PAUSE)
    raise RuntimeError("the coordinator did not answer a ping")


def _wait_for_event(log_path: str, event: bytes) -> None:
    until = time.monotonic() + RELOAD_WITHIN
    while time.monotonic() < until:
        with open(log_path, "rb") as log:
            if event in log.read():
                return
        time.sleep(PAUSE)
    raise RuntimeError(f"the log shows no {event.decode()}")


def _spent_ms(pid: int) -> float:
    """Processor time of a process of one thread, in ms."""
    with open(f"/proc/{pid}/schedstat", encoding="ascii") as file:
        return int(file.read().split()[0]) / NS_PER_MS


def _resident_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        line = next(line for line in file if line.startswith("VmRSS:"))
    return int(line.split()[1]) / KB_PER_MB
