"""Processes of a run: coordinators and hollow ones, each started, measured and ended by its parent."""

import ctypes
import json
import os
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Generator
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import orjson

import granitespool
from granitespool.net.loop import IN, SECOND, Loop

PAGE = resource.getpagesize()
TICK = SECOND // os.sysconf("SC_CLK_TCK")  # ns of one tick of /proc/PID/stat
PR_SET_PDEATHSIG = 1  # prctl: the signal that a child gets when its parent ends
ENDS = signal.SIGTERM, signal.SIGINT, signal.SIGHUP  # that end a run in good order
END_LIMIT = 5.0  # s from SIGTERM to SIGKILL
READ = 65_536
MEGABYTE = 1 << 20

Wait = Generator[tuple[int | None, int, int | None], int, None]


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
        return Sample(now, _processor(pid), pages * PAGE, len(os.listdir(f"/proc/{pid}/fd")))
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
        parent = os.getpid()
        prctl = ctypes.CDLL(None, use_errno=True).prctl
        # A signal that ends the parent waits until the child is known, or nobody would end that in good order
        former = signal.pthread_sigmask(signal.SIG_BLOCK, ENDS)

        def prepare() -> None:  # in the child, before it becomes another program
            prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
            if os.getppid() != parent:
                os._exit(1)
            if sockets:
                resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))
            if memory_mb:
                resource.setrlimit(resource.RLIMIT_DATA, (memory_mb * MEGABYTE, memory_mb * MEGABYTE))
            signal.pthread_sigmask(signal.SIG_SETMASK, former)

        root = str(Path(granitespool.__file__).parent.parent)
        try:
            self.process = subprocess.Popen(
                [sys.executable, *command],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                preexec_fn=prepare,  # noqa: PLW1509 this program has one thread
                env={**os.environ, "PYTHONPATH": root},
            )
            os.set_blocking(self.process.stdout.fileno(), False)
        finally:
            self._unblock(former)

    def _unblock(self, former: set[signal.Signals]) -> None:
        """Lets signals come again; one that ends the parent now ends the child first."""
        try:
            signal.pthread_sigmask(signal.SIG_SETMASK, former)
        except BaseException:
            if hasattr(self, "process"):
                self.close(0)
            raise

    @property
    def pid(self) -> int:
        """Its process id."""
        return self.process.pid

    @property
    def ended(self) -> bool:
        """Whether it has ended."""
        return self.process.poll() is not None

    def signal(self, number: int) -> None:
        """Sends a signal, if it still runs."""
        if not self.ended:
            self.process.send_signal(number)

    def close(self, limit: float = END_LIMIT) -> int:
        """Ends it, by SIGKILL after `limit` s at the latest; returns its exit code."""
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(limit)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        return self.process.returncode


def close_all(children: list[Child]) -> None:
    """Ends several at once: all are asked before any is waited for."""
    for child in children:
        child.signal(signal.SIGTERM)
    until = time.monotonic() + END_LIMIT
    for child in children:
        with suppress(subprocess.TimeoutExpired):
            child.process.wait(max(0.0, until - time.monotonic()))
    for child in children:
        child.close()


def lines_of(loop: Loop, child: Child, heard: Callable[[dict[str, Any]], None]) -> Wait:
    """A coroutine that reads a child's JSON lines until its output ends; it owns that end of the pipe."""
    fd, waiting = child.process.stdout.fileno(), b""
    try:
        while True:
            yield fd, IN, None
            try:
                data = os.read(fd, READ)
            except BlockingIOError:
                continue
            if not data:
                return
            *lines, waiting = (waiting + data).split(b"\n")
            for line in lines:
                with suppress(ValueError):
                    heard(orjson.loads(line))
    finally:
        child.process.stdout.close()


def write_json(path: Path, value: dict[str, Any]) -> int:
    """Writes a file at once, so that a reader has the former or this one; returns its bytes."""
    data = orjson.dumps(value)
    new = path.with_suffix(".new")
    new.write_bytes(data)
    new.replace(path)
    return len(data)


def read_spec(path: str) -> dict[str, Any]:
    """What `write_json` wrote."""
    return json.loads(Path(path).read_text(encoding="utf-8"))
