"""Processes of a run: coordinators and hollow ones, each started, measured and ended by its parent."""

import ctypes
import os
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import IO, Any

import msgspec
import orjson

import granitespool
from granitespool.net.loop import IN
from granitespool.scale.coroutines import Wait
from granitespool.units import SECOND

PAGE = resource.getpagesize()
TICK = SECOND // os.sysconf("SC_CLK_TCK")  # ns of one tick of /proc/PID/stat
PR_SET_PDEATHSIG = 1  # prctl: the signal that a child gets when its parent ends
ENDING_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)  # that end a run in good order
EXIT_TIMEOUT = 5.0  # s from SIGTERM to SIGKILL
READ_SIZE = 65_536
MEGABYTE = 1 << 20

SignalMask = set[int | signal.Signals]


class Sample(msgspec.Struct, frozen=True):
    """What a process had used at one time."""

    at: int  # ns
    processor: int  # ns of processor time since its start
    resident: int  # bytes
    descriptors: int = 0  # that are open


def sample(pid: int, now: int) -> Sample | None:
    """What a process has used by now (ns); None where it has ended."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        return Sample(now, _processor(pid), pages * PAGE, len(list(Path(f"/proc/{pid}/fd").iterdir())))
    except (OSError, IndexError, ValueError):
        return None


def _processor(pid: int) -> int:
    with suppress(OSError, IndexError, ValueError):
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) * TICK


class Child:
    """One process; it is ended with its parent, also where the parent is killed."""

    def __init__(self, command: list[str], memory_mb: int | None, sockets: int | None) -> None:
        """Starts Python with these arguments; `memory_mb` and `sockets` limit it, None: no limit."""
        # A signal that ends the parent waits until the child is known, or nobody would end that in good order
        former = signal.pthread_sigmask(signal.SIG_BLOCK, ENDING_SIGNALS)
        root = str(Path(granitespool.__file__).parent.parent)
        try:
            self.process = subprocess.Popen(
                [sys.executable, *command],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                preexec_fn=_child_setup(former, memory_mb, sockets),  # noqa: PLW1509 one thread runs
                env={**os.environ, "PYTHONPATH": root},
            )
            os.set_blocking(self.output.fileno(), False)
        finally:
            self._unblock(former)

    def _unblock(self, former: SignalMask) -> None:
        """Lets signals come again; one that ends the parent now ends the child first."""
        try:
            signal.pthread_sigmask(signal.SIG_SETMASK, former)
        except BaseException:
            if hasattr(self, "process"):
                self.close(0)
            raise

    @property
    def output(self) -> IO[bytes]:
        """Its standard output."""
        assert self.process.stdout is not None
        return self.process.stdout

    @property
    def pid(self) -> int:
        """Its process id."""
        return self.process.pid

    @property
    def ended(self) -> bool:
        """Whether it has ended."""
        return self.process.poll() is not None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, if it still runs."""
        if not self.ended:
            self.process.send_signal(number)

    def close(self, timeout: float = EXIT_TIMEOUT) -> int:
        """Ends it, by SIGKILL after `limit` s at the latest; returns its exit code."""
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        return self.process.returncode


def _child_setup(signal_mask: SignalMask, memory_mb: int | None, sockets: int | None) -> Callable[[], None]:
    """What a child does before it becomes another program: it dies with its parent and keeps its limits."""
    parent = os.getpid()
    prctl = ctypes.CDLL(None, use_errno=True).prctl

    def prepare() -> None:
        prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
        if os.getppid() != parent:
            os._exit(1)
        if sockets:
            resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))
        if memory_mb:
            resource.setrlimit(resource.RLIMIT_DATA, (memory_mb * MEGABYTE, memory_mb * MEGABYTE))
        signal.pthread_sigmask(signal.SIG_SETMASK, signal_mask)

    return prepare


def close_all(children: Sequence[Child]) -> None:
    """Ends several at once: all are asked before any is waited for."""
    for child in children:
        child.signal(signal.SIGTERM)
    until = time.monotonic() + EXIT_TIMEOUT
    for child in children:
        with suppress(subprocess.TimeoutExpired):
            child.process.wait(max(0.0, until - time.monotonic()))
    for child in children:
        child.close()


def read_lines(child: Child, handle: Callable[[dict[str, Any]], None]) -> Wait:
    """A coroutine that reads a child's JSON lines until its output ends; it owns that end of the pipe."""
    fd = child.output.fileno()
    waiting = b""
    try:
        while True:
            yield fd, IN, None
            try:
                data = os.read(fd, READ_SIZE)
            except BlockingIOError:
                continue
            if not data:
                return
            *lines, waiting = (waiting + data).split(b"\n")
            for line in lines:
                with suppress(ValueError):
                    handle(orjson.loads(line))
    finally:
        child.output.close()


def write_json(path: Path, value: dict[str, Any]) -> int:
    """Writes a file at once, so that a reader has the former or this one; returns its bytes."""
    data = orjson.dumps(value)
    new = path.with_suffix(".new")
    new.write_bytes(data)
    new.replace(path)
    return len(data)
