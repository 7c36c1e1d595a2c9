"""Child processes of a run (real and hollow coordinators): start, resource usage and termination."""

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

PAGE = resource.getpagesize()  # bytes
TICK = SECOND // os.sysconf("SC_CLK_TCK")  # ns of one clock tick of /proc/PID/stat
PR_SET_PDEATHSIG = 1  # prctl option: the signal that a child receives when its parent ends
ENDING_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)  # signals that end a run with cleanup
EXIT_TIMEOUT = 5.0  # s from SIGTERM to SIGKILL
READ_SIZE = 65_536
MEGABYTE = 1 << 20

SignalMask = set[int | signal.Signals]


class Sample(msgspec.Struct, frozen=True):
    """The resource usage of a process at one time."""

    at: int  # ns
    processor: int  # ns of processor time since its start
    resident: int  # bytes of resident memory
    descriptors: int = 0  # open file descriptors


def sample(pid: int, now: int) -> Sample | None:
    """Return the resource usage of a process at `now` (ns); None if it has exited."""
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
    """One child process; it ends with its parent, even if the parent is killed."""

    def __init__(self, command: list[str], memory_mb: int | None, sockets: int | None) -> None:
        """Start Python with these arguments; `memory_mb` and `sockets` are limits, None for no limit."""
        # A signal that ends the parent is blocked until `process` is set, else the child would run on
        previous_mask = signal.pthread_sigmask(signal.SIG_BLOCK, ENDING_SIGNALS)
        root = str(Path(granitespool.__file__).parent.parent)
        try:
            self.process = subprocess.Popen(
                [sys.executable, *command],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                preexec_fn=_child_setup(previous_mask, memory_mb, sockets),  # noqa: PLW1509 one thread runs
                env={**os.environ, "PYTHONPATH": root},
            )
            os.set_blocking(self.output.fileno(), False)
        finally:
            self._unblock(previous_mask)

    def _unblock(self, previous_mask: SignalMask) -> None:
        """Unblock signals; if one ends the parent now, stop the child first."""
        try:
            signal.pthread_sigmask(signal.SIG_SETMASK, previous_mask)
        except BaseException:
            if hasattr(self, "process"):
                self.close(0)
            raise

    @property
    def output(self) -> IO[bytes]:
        """The process's standard output."""
        assert self.process.stdout is not None
        return self.process.stdout

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    @property
    def exited(self) -> bool:
        """Whether the process has exited."""
        return self.process.poll() is not None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has exited."""
        if not self.exited:
            self.process.send_signal(number)

    def close(self, timeout: float = EXIT_TIMEOUT) -> int:
        """Stop the process, with SIGKILL after `timeout` s; return its exit code."""
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        return self.process.returncode


def _child_setup(signal_mask: SignalMask, memory_mb: int | None, sockets: int | None) -> Callable[[], None]:
    """Return a function that a child runs before exec: it sets the limits and the parent-death signal."""
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
        signal.signal(signal.SIGHUP, signal.SIG_IGN)  # as `run` of the deploy file does
        signal.pthread_sigmask(signal.SIG_SETMASK, signal_mask)

    return prepare


def close_all(children: Sequence[Child]) -> None:
    """Stop several children at the same time: send SIGTERM to all before waiting for any."""
    for child in children:
        child.signal(signal.SIGTERM)
    deadline = time.monotonic() + EXIT_TIMEOUT
    for child in children:
        with suppress(subprocess.TimeoutExpired):
            child.process.wait(max(0.0, deadline - time.monotonic()))
    for child in children:
        child.close()


def read_lines(child: Child, handle: Callable[[dict[str, Any]], None]) -> Wait:
    """Read a child's JSON lines until its output ends, then close the reading end of the pipe."""
    fd = child.output.fileno()
    incomplete = b""
    try:
        while True:
            yield fd, IN, None
            try:
                data = os.read(fd, READ_SIZE)
            except BlockingIOError:
                continue
            if not data:
                return
            *lines, incomplete = (incomplete + data).split(b"\n")
            for line in lines:
                with suppress(ValueError):
                    handle(orjson.loads(line))
    finally:
        child.output.close()


def write_json(path: Path, value: dict[str, Any]) -> int:
    """Write a file atomically, so that a reader finds either the old or the new file; return its size."""
    data = orjson.dumps(value)
    new = path.with_suffix(".new")
    new.write_bytes(data)
    new.replace(path)
    return len(data)
