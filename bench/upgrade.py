"""Check that this build and another one can replace each other while they serve a fleet.

    python -m bench.upgrade OTHER        OTHER: the source tree of another build, such as a clone of a release

Each build reads what the other build wrote (state folder, configuration, operator's file, managers'
settings). Both builds serve the same proxies side by side: proxies move between them, lose the connection
to one build without a reset, and are served while one build is replaced by the other. Processes of both
builds run with this interpreter and its libraries. Needs the extra `manage`. Prints a line for each check;
the exit code is 1 if a check failed.
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

import docopt

from granitespool.cli import keys
from granitespool.net.frames import LENGTH_SIZE, frame
from granitespool.simulation.netconf_client import NetconfClient

USAGE = """Usage: upgrade OTHER"""
LOOPBACK = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[1]
STORED_STATES = ROOT / "tests" / "data"  # contains a state folder of each format
ZONES = ("north", "south")
BACKENDS = 6
PROXIES = 4
READY_TIMEOUT = 20.0  # s until a process answers a ping
EXIT_TIMEOUT = 10.0  # s until a process has ended after SIGTERM
TABLE_TIMEOUT = 15.0  # s until a proxy that joined has a complete table
STATE_TIMEOUT = 10.0  # s until load reports have been written to the state folder
STATE_INTERVAL_MS = 200  # ms between two writes of the state folder
REPORT_INTERVAL = 0.2  # s between two load reports
REPORT_ROUNDS = 15
POLL_INTERVAL = 0.02  # s
CHANGED_GRACE_US = 2_345_678  # microseconds, the drain grace that a manager sets
DATAGRAM_SIZES = (1, 16, 256)  # bytes; 256 is the largest that the protocol permits
FAULT_EVENTS = ("message_dropped", "internal_error", "task_failed", "rejected", "state_corrupt")

Address = tuple[str, int]
Event = dict[str, Any]  # a line of a coordinator's log


class Build(NamedTuple):
    """A source tree whose program is run."""

    name: str
    tree: Path

    def command(self, *arguments: str) -> "subprocess.CompletedProcess[str]":
        """Run the program with these arguments until it exits."""
        return subprocess.run(
            [sys.executable, "-m", "granitespool", *arguments],
            cwd=self.tree,
            capture_output=True,
            text=True,
            check=False,
        )


class Failures:
    """The descriptions of failed checks."""

    def __init__(self) -> None:
        self.descriptions: list[str] = []

    def check(self, passed: bool, description: str) -> None:
        """Print the outcome of a check and record its description if it failed."""
        print(f"{'ok' if passed else 'FAILED'}: {description}", flush=True)
        if not passed:
            self.descriptions.append(description)


class Coordinator:
    """A coordinator process of one build, with its configuration and its log in a folder."""

    def __init__(self, build: Build, folder: Path, listen: Address, operator: Path | None = None) -> None:
        """Start the process; `folder` contains config.json, and the log is appended to a file beside it."""
        self.build = build
        self.folder = folder
        self.address = listen
        self.log_path = folder / f"log-{build.name}.jsonl"
        command = [sys.executable, "-m", "granitespool", "serve", "--config", str(folder / "config.json")]
        if operator is not None:
            command += ["--operator", str(operator)]
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(command, cwd=build.tree, stdout=log)

    def wait_until_ready(self) -> bool:
        """Return whether a ping was answered within `READY_TIMEOUT`."""
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline and self.process.poll() is None:
            try:
                with Stream(self.address) as stream:
                    stream.send({"type": "ping"})
                    if stream.receive()["type"] == "pong":
                        return True
            except OSError:
                time.sleep(POLL_INTERVAL)
        return False

    def stop(self) -> int:
        """End the process by SIGTERM and return its exit code."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        return self.process.wait(EXIT_TIMEOUT)

    def kill(self) -> None:
        """Kill the process if it is still running."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def events(self) -> list[Event]:
        """Return the complete lines of the log."""
        complete_lines, _, _ = self.log_path.read_text(encoding="utf-8").rpartition("\n")
        return [json.loads(line) for line in complete_lines.splitlines()]

    def event_names(self) -> set[str]:
        """Return the names of all events in the log."""
        return {event["event"] for event in self.events()}


class Stream:
    """A blocking connection to a coordinator that sends and receives framed messages."""

    def __init__(self, address: Address) -> None:
        """Connect; raises OSError."""
        self.sock = socket.create_connection(address, TABLE_TIMEOUT)

    def __enter__(self) -> "Stream":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def send(self, message: dict[str, Any]) -> None:
        """Send one message; raises OSError."""
        self.sock.sendall(frame(message))

    def receive(self) -> dict[str, Any]:
        """Return the next message; raises OSError if the connection ends or stays silent."""
        size = int.from_bytes(self._bytes(LENGTH_SIZE), "little")
        message: dict[str, Any] = json.loads(self._bytes(size))
        return message

    def _bytes(self, size: int) -> bytes:
        data = b""
        while len(data) < size:
            received = self.sock.recv(size - len(data))
            if not received:
                raise ConnectionResetError("the coordinator closed the connection")
            data += received
        return data


class Proxy:
    """Stand-in of a proxy that joins a coordinator, applies its table and acknowledges it."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.zone = ZONES[number % len(ZONES)]
        self.table: dict[str, float] = {}
        self.stream: Stream | None = None
        self.silent_streams: list[Stream] = []  # streams left open to imitate a network cut

    def join(self, address: Address) -> bool:
        """Join a coordinator and return whether it sent a complete table with usable entries."""
        self.stream = Stream(address)
        joined = {"type": "joined", "node": self.number, "locality": self.zone, "w": 10.0}
        self.stream.send({**joined, "cold": not self.table})
        deadline = time.monotonic() + TABLE_TIMEOUT
        has_complete_table = False
        try:
            while not has_complete_table and time.monotonic() < deadline:
                has_complete_table = self._apply(self.stream.receive())
        except OSError:
            return False
        return has_complete_table and any(self.table.values())

    def _apply(self, message: dict[str, Any]) -> bool:
        """Apply one message; return whether it contained a complete table."""
        if message["type"] != "update":
            return False
        if message.get("whole"):
            self.table = {}
        self.table.update(message.get("lines", ()))
        if "ticket" in message:
            self._send({"type": "applied", "node": self.number, "nonce": message["ticket"], "latency": 5})
        return bool(message.get("whole"))

    def report_usage(self) -> None:
        """Send a usage report of one interval."""
        counts = {"route": "pay", "total": 10, "errors": 0, "interval": 1000}
        self._send({"type": "usage", "node": self.number, **counts})

    def _send(self, message: dict[str, Any]) -> None:
        assert self.stream is not None
        self.stream.send(message)

    def leave(self, silently: bool = False) -> None:
        """Close the stream, or leave it open and silent as after a network cut."""
        if self.stream is not None:
            if silently:
                self.silent_streams.append(self.stream)
            else:
                self.stream.close()
        self.stream = None

    def close(self) -> None:
        """Close all streams, also the silent ones."""
        self.leave()
        while self.silent_streams:
            self.silent_streams.pop().close()


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> Address:
    """Return a loopback address that was free a moment ago."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((LOOPBACK, 0))
        address: Address = sock.getsockname()
        return address


def address_text(address: Address) -> str:
    """Return `host:port`."""
    return f"{address[0]}:{address[1]}"


def write_configuration(folder: Path, name: str, listen: Address, peers: dict[str, Any]) -> None:
    """Write config.json; `peers` contains the keys for gossip."""
    endpoints = [
        {
            "name": f"s{number}",
            "address": f"{LOOPBACK}:9",
            "zone": ZONES[number % len(ZONES)],
            "type": "m",
            "group": 0,
            "status": "ready",
            "weight": 1.0,
            "since_ms": 0,
        }
        for number in range(BACKENDS)
    ]
    configuration = {
        "name": name,
        "listen": address_text(listen),
        "discovery": f"{LOOPBACK}:9",
        "seed": "1f",
        "limits": {"sockets": 256, "memory_mb": 192},
        "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
        "settings": {
            "zones": list(ZONES),
            "zone": ZONES[0],
            "balancers": 2,
            "classes": [{"name": "pay", "semantics": "single_shot", "aim_us": 300_000, "worth": 5.0}],
            "family_info": {
                "admit": "fraction",
                "proxy_count": PROXIES,
                "egress_per_s": 1000.0,
                "most_waiting": 2000.0,
                "envelope": 2,
            },
            "rules": {"stop_sending_within_us": 3_000_000},
            "permissions": {"probes": False, "peers": True},
        },
        **peers,
    }
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "config.json").write_text(json.dumps(configuration), encoding="utf-8")


def write_operator_file(folder: Path, keys_folder: Path, netconf: Address) -> Path:
    """Write an operator's file with a state folder, NETCONF and a user; return its path."""
    path = folder / "operator.ini"
    lines = [
        "[state]",
        f"folder = {folder / 'state'}",
        f"every_ms = {STATE_INTERVAL_MS}",
        "[tls]",
        f"certificate = {keys_folder / 'server.pem'}",
        f"key = {keys_folder / 'server.key'}",
        f"authorities = {keys_folder / 'ca.pem'}",
        "[netconf]",
        f"listen = {address_text(netconf)}",
        "[user.operations]",
        "certificate = cn:operations",
        "write = *",
    ]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return path


def report_load(address: Address) -> None:
    """Send load reports of every backend for some seconds, as the collector of the first zone."""
    with Stream(address) as stream:
        stream.send({"type": "collector", "locality": ZONES[0]})
        for _ in range(REPORT_ROUNDS):
            for number in range(BACKENDS):
                report = {"locality": ZONES[0], "endpoint": f"s{number}", "total": 20, "errors": 0}
                stream.send({"type": "heard", **report, "rtt": 12 + number, "interval": 200})
            time.sleep(REPORT_INTERVAL)


def change_settings(netconf: Address, keys_folder: Path) -> bool:
    """Change the drain grace by a confirmed commit; return whether every answer was `ok`."""
    session = NetconfClient(netconf, str(keys_folder))
    try:
        answers = [
            session.edit(f"<drain><grace>{CHANGED_GRACE_US}</grace></drain>"),
            session.commit("<confirmed/>"),
            session.commit(),
        ]
    finally:
        session.close()
    return all("<ok/>" in answer for answer in answers)


def running_settings(netconf: Address, keys_folder: Path) -> str:
    """Return the running settings as XML."""
    session = NetconfClient(netconf, str(keys_folder))
    try:
        return session.config()
    finally:
        session.close()


@contextmanager
def running(*coordinators: Coordinator) -> Iterator[None]:
    """Kill the coordinators that still run when the context ends."""
    try:
        yield
    finally:
        for coordinator in coordinators:
            coordinator.kill()


def check_stored_data(writer: Build, reader: Build, folder: Path, failures: Failures) -> None:
    """Check that `reader` uses the state, the files and the managers' settings that `writer` wrote."""
    prefix = f"{writer.name} wrote, {reader.name} reads:"
    keys_folder, state = folder / "keys", folder / "state"
    listen, netconf = free_address(), free_address()
    write_configuration(folder, "n0", listen, {})
    keys.make(str(keys_folder), [LOOPBACK], ["operations"], "5")
    operator = write_operator_file(folder, keys_folder, netconf)
    first = Coordinator(writer, folder, listen, operator)
    with running(first):
        failures.check(first.wait_until_ready(), f"{prefix} the writer serves")
        report_load(listen)
        failures.check(change_settings(netconf, keys_folder), f"{prefix} a confirmed change is committed")
        failures.check(first.stop() == 0, f"{prefix} the writer ends with exit code 0")
    files = ["--config", str(folder / "config.json"), "--operator", str(operator)]
    for arguments in (["check", *files], ["state", "verify", str(state)], ["state", "show", str(state)]):
        result = reader.command(*arguments)
        passed = result.returncode == 0 and bool(result.stdout)
        failures.check(passed, f"{prefix} `{' '.join(arguments[:2])}` passes {result.stderr.strip()[:200]}")
    second = Coordinator(reader, folder, listen, operator)
    with running(second):
        failures.check(second.wait_until_ready(), f"{prefix} the reader serves")
        settings = running_settings(netconf, keys_folder)
        failures.check(f"{CHANGED_GRACE_US}</grace>" in settings, f"{prefix} the managed setting is active")
        failures.check(second.stop() == 0, f"{prefix} the reader ends with exit code 0")
    restored = [event for event in second.events() if event["event"] == "snapshot_restored"]
    passed = any(event["backends"] == BACKENDS and event["links"] for event in restored)
    failures.check(passed, f"{prefix} all {BACKENDS} backends and their links are restored")
    failures.check("settings_restored" in second.event_names(), f"{prefix} settings are restored")
    check_no_faults(second, prefix, failures)


def check_recorded_state(builds: list[Build], stored: Path, folder: Path, failures: Failures) -> None:
    """Check that both builds handle a recorded state folder in the same way."""
    outcomes = []
    for build in builds:
        build_folder = folder / build.name
        listen = free_address()
        write_configuration(build_folder, "n0", listen, {})
        shutil.copytree(stored, build_folder / "state")
        operator = build_folder / "operator.ini"
        operator.write_text(f"[state]\nfolder = {build_folder / 'state'}\n", encoding="utf-8")
        codes = [
            build.command("state", call, str(build_folder / "state")).returncode
            for call in ("verify", "show")
        ]
        coordinator = Coordinator(build, build_folder, listen, operator)
        with running(coordinator):
            ready = coordinator.wait_until_ready()
            code = coordinator.stop()
        events = sorted(name for name in coordinator.event_names() if name.startswith(("snapshot", "state")))
        outcomes.append((codes, ready, code, events))
    failures.check(outcomes[0] == outcomes[1], f"{stored.name}: both builds do the same: {outcomes[0]}")
    (_, shown), ready, code, _ = outcomes[1]  # `verify` may fail: a recorded folder can end in a torn write
    failures.check(
        (shown, ready, code) == (0, True, 0), f"{stored.name}: `state show` passes and a coordinator serves"
    )


def check_no_faults(coordinator: Coordinator, prefix: str, failures: Failures) -> None:
    """Check that the log has no event that reports a dropped message or an internal fault."""
    faults = [event for event in coordinator.events() if event["event"] in FAULT_EVENTS]
    first = f": {faults[0]}" if faults else ""
    name = coordinator.build.name
    failures.check(not faults, f"{prefix} the log of the {name} build reports no fault{first}")


class SideBySide:
    """Two coordinators of different builds that serve the same proxies, as in a rolling upgrade."""

    def __init__(self, builds: list[Build], folder: Path, failures: Failures) -> None:
        self.folder = folder
        self.failures = failures
        self.prefix = f"{builds[0].name} beside {builds[1].name}:"
        self.listen = [free_address(), free_address()]
        self.gossip = [free_address(socket.SOCK_DGRAM), free_address(socket.SOCK_DGRAM)]
        self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)  # gossip socket of a third coordinator
        self.peer.bind((LOOPBACK, 0))
        for number in range(2):
            others = [self.gossip[1 - number], self.peer.getsockname()]
            peers = {
                "peer_listen": address_text(self.gossip[number]),
                "peers": [address_text(address) for address in others],
            }
            write_configuration(folder / f"n{number}", f"n{number}", self.listen[number], peers)
        self.coordinators = [self._start(build, number) for number, build in enumerate(builds)]
        self.started = list(self.coordinators)
        self.proxies = [Proxy(number) for number in range(PROXIES)]

    def _start(self, build: Build, number: int) -> Coordinator:
        return Coordinator(build, self.folder / f"n{number}", self.listen[number])

    def check(self, passed: bool, description: str) -> None:
        """Record one check of this pair."""
        self.failures.check(passed, f"{self.prefix} {description}")

    def run(self) -> None:
        """Run all steps."""
        with running(*self.started):
            for coordinator in self.coordinators:
                self.check(coordinator.wait_until_ready(), f"the {coordinator.build.name} build serves")
            self._move_proxies()
            self._send_datagrams()
            self._cut_proxies_off()
            self._replace(0)
            for proxy in self.proxies:
                proxy.close()
            codes = [coordinator.stop() for coordinator in self.coordinators]
            self.check(codes == [0, 0], "both end with exit code 0")
        self.peer.close()
        for coordinator in self.started:
            check_no_faults(coordinator, self.prefix, self.failures)

    def _join(self, number: int) -> None:
        name = self.coordinators[number].build.name
        joined = [proxy.join(self.listen[number]) for proxy in self.proxies]
        self.check(
            all(joined), f"{sum(joined)} of {PROXIES} proxies get a complete table from the {name} build"
        )
        for proxy in self.proxies:
            proxy.report_usage()

    def _leave(self, silently: bool = False) -> None:
        for proxy in self.proxies:
            proxy.leave(silently)

    def _move_proxies(self) -> None:
        for number in (0, 1, 0, 1):
            self._join(number)
            report_load(self.listen[number])
            self._leave()

    def _send_datagrams(self) -> None:
        """Send datagrams of several permitted sizes from a peer that both coordinators have configured."""
        for address in self.gossip:
            for size in DATAGRAM_SIZES:
                self.peer.sendto(bytes(size), address)

    def _cut_proxies_off(self) -> None:
        """Leave silent streams at one build, join the other build, and rejoin the first after a reset."""
        self._join(0)
        self._leave(silently=True)
        self._join(1)
        self._leave()
        for proxy in self.proxies:
            proxy.close()
        self._join(0)
        self._leave()

    def _replace(self, number: int) -> None:
        """Replace one coordinator by the other build while the other coordinator serves its proxies."""
        self._join(number)
        code = self.coordinators[number].stop()
        self.check(code == 0, f"the {self.coordinators[number].build.name} build ends with exit code 0")
        self._leave()
        self._join(1 - number)
        replacement = self._start(self.coordinators[1 - number].build, number)
        self.started.append(replacement)
        self.coordinators[number] = replacement
        self.check(replacement.wait_until_ready(), f"the {replacement.build.name} build takes its place")
        self._leave()
        self._join(number)


def run_checks(this: Build, other: Build, folder: Path) -> list[str]:
    """Run all checks and return the descriptions of those that failed."""
    failures = Failures()
    for writer, reader in ((other, this), (this, other)):
        check_stored_data(writer, reader, folder / f"stored-by-{writer.name}", failures)
    for stored in sorted(path for path in STORED_STATES.iterdir() if path.is_dir()):
        if stored.name.startswith("state-"):
            check_recorded_state([other, this], stored, folder / stored.name, failures)
    for builds in ([other, this], [this, other]):
        SideBySide(builds, folder / f"beside-{builds[0].name}", failures).run()
    return failures.descriptions


def main(argv: list[str], print_line: Callable[[str], None] = print) -> int:
    """Check against the given source tree; return the exit code."""
    tree = Path(docopt.docopt(USAGE, argv)["OTHER"]).resolve()
    if not (tree / "granitespool" / "__main__.py").exists():
        print_line(f"upgrade: {tree} is not a source tree of granitespool")
        return 2
    os.environ.pop("GRANITESPOOL_OPERATOR", None)  # use only the files that are written here
    with tempfile.TemporaryDirectory(prefix="granitespool-upgrade-") as folder:
        failed = run_checks(Build("current", ROOT), Build("other", tree), Path(folder))
    print_line(f"{len(failed)} checks failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
