"""Measure the cost of the management protocols with clients on loopback.

    python -m bench.manage [read] [stream] [commit] [memory]      (all if none is given)

read    reads of all state by NETCONF and gNMI
stream  gNMI subscriptions of all state
commit  changes of the settings
memory  resident memory without, with and after management

The coordinator runs in a separate process with a synthetic fleet: backends of the endpoint list, proxies that
joined without a stream, and a load report for each backend and zone every second. A turn of the
loop is timed from the end of one wait for events to the start of the next wait.
"""

import json
import os
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple, Self

from granitespool.net.config import Configuration
from granitespool.net.loop import Coroutine
from granitespool.net.service import Service
from granitespool.operator_settings import (
    GnmiSettings,
    NetconfSettings,
    OperatorSettings,
    TlsSettings,
    UserSettings,
)
from granitespool.planner.events import LoadReport, ProxyJoined
from granitespool.settings import settings_from_wire
from granitespool.units import SECOND

if sys.argv[1:2] != ["serve"]:  # keeps the coordinator's process free of the clients' modules
    import grpc

    from granitespool.cli.keys import make
    from granitespool.gnmi import gnmi_pb2 as pb
    from granitespool.simulation.netconf_client import NetconfClient, reply_tag

MS_PER_S = 1e3
ZONES = ("n", "s")
REPORTED_MEAN = 40_000_000  # ns, mean answer time of a backend
PARTS_PER_SECOND = 20  # the load reports of a second are spread over this number of parts
WARM_UP_S = 2.5  # time until the tables and the first load reports are complete
IDLE_S = 3
SUBSCRIPTIONS = 100  # number of subscriptions; each samples all state once a second
STREAM_S = 8  # duration of the subscriptions
COMMITS = 40
READERS = 6
READS = 4  # number of reads by each reader
MIN_TURN_S = 1e-5  # shorter turns are not counted if they only poll without waiting


class Fleet(NamedTuple):
    """Numbers of backends and proxies."""

    backends: int
    proxies: int


FLEETS = (Fleet(120, 640), Fleet(1000, 5000))


class TurnStatistics(NamedTuple):
    """Times of the coordinator's turns since the last reading, and its resident memory."""

    longest_ms: float
    turns: int
    p999_ms: float
    memory_mb: float


# The measured coordinator, in a child process


class TimedEpoll:
    """Wraps the loop's epoll and records the time between two waits in `turns`, in s."""

    def __init__(self, epoll: select.epoll) -> None:
        self.epoll = epoll
        self.turns: list[float] = []
        self._wait_ended = time.perf_counter()

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401 any attribute of epoll
        return getattr(self.epoll, name)

    def poll(self, timeout: float, max_events: int) -> list[tuple[int, int]]:
        """Wait for events as `epoll.poll` does."""
        now = time.perf_counter()
        if timeout or now - self._wait_ended > MIN_TURN_S:
            self.turns.append(now - self._wait_ended)
        events = self.epoll.poll(timeout, max_events)
        self._wait_ended = time.perf_counter()
        return events


def memory_mb() -> float:
    """Return the resident memory of this process in MiB."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)


def serve(backends: int, proxies: int, management: bool, keys: str, ports: Sequence[int]) -> None:
    """Serve until SIGTERM; SIGUSR1 prints the figures of the turns since the previous SIGUSR1."""
    configuration = _configuration(backends, proxies)
    if management:
        configuration["operator"] = _operator(keys, ports)
    service = Service(configuration, os.open(os.devnull, os.O_WRONLY))
    _join_proxies(service, proxies)
    service.loop.spawn(_reports(service, [entry["name"] for entry in configuration["known"]["endpoints"]]))
    timed = TimedEpoll(service.loop.epoll)
    service.loop.epoll = timed  # type: ignore[assignment]  # a stand-in of epoll
    signal.signal(signal.SIGUSR1, lambda *_: _print_figures(timed))
    signal.signal(signal.SIGTERM, lambda *_: service.stop())
    print("ready", flush=True)
    service.run()


def _configuration(backends: int, proxies: int) -> Configuration:
    settings = {
        "zones": list(ZONES),
        "classes": [{"name": "pay", "worth": 1.0}],
        "family_info": {"egress_per_s": 1e6, "most_waiting": 2e6, "proxy_count": proxies},
        "rules": {},
    }
    return {  # type: ignore[typeddict-item]  # without the limits, which managers do not read
        "name": "bench",
        "listen": ("127.0.0.1", 0),
        "discovery": ("127.0.0.1", 9),
        "seed": 1,
        "sockets": 1024,
        "health_checks": 4,
        "connections": 900,
        "buffers": 64,
        "peer_listen": None,
        "peers": [],
        "peers_all": None,
        "known": {"index": 1, "endpoints": [_endpoint(number) for number in range(backends)]},
        "settings": settings_from_wire(settings),
        "operator": None,
    }


def _endpoint(number: int) -> dict[str, Any]:
    return {
        "name": f"s-{number:05}",
        "address": "127.0.0.1:9",
        "zone": ZONES[number % len(ZONES)],
        "type": "m",
        "status": "ready",
        "weight": 1.0,
        "since_ms": 0,
    }


def _operator(keys: str, ports: Sequence[int]) -> OperatorSettings:
    return OperatorSettings(
        tls=TlsSettings(
            certificate=f"{keys}/server.pem", key=f"{keys}/server.key", authorities=f"{keys}/ca.pem"
        ),
        netconf=NetconfSettings(listen=f"127.0.0.1:{ports[0]}", sessions=8),
        gnmi=GnmiSettings(listen=f"127.0.0.1:{ports[1]}", sessions=8, streams=200),
        users={"operations": UserSettings(certificate="cn:operations", write="*")},
    )


def _join_proxies(service: Service, proxies: int) -> None:
    coordinator = service.coordinator
    now = service.loop.now
    for number in range(proxies):
        zone = ZONES[number % len(ZONES)]
        coordinator.report(now, ProxyJoined(proxy=number, zone=zone, bootstrap=False, rate=1.0))
    coordinator.tick(now)
    coordinator.updates.waiting.clear()


def _reports(service: Service, backends: Sequence[str]) -> Coroutine:
    """Report each backend from each zone once a second, in parts; messages are discarded."""
    coordinator = service.coordinator
    loop = service.loop
    while True:
        for part in range(PARTS_PER_SECOND):
            for backend in backends[part::PARTS_PER_SECOND]:
                for zone in ZONES:
                    coordinator.report(loop.now, _load_report(zone, backend))
            coordinator.updates.waiting.clear()
            yield None, 0, loop.now + SECOND // PARTS_PER_SECOND


def _load_report(zone: str, backend: str) -> LoadReport:
    return LoadReport(
        zone=zone,
        backend=backend,
        attempts=10,
        failures=0,
        mean=REPORTED_MEAN,
        window=SECOND,
        load={},
    )


def _print_figures(timed: TimedEpoll) -> None:
    turns = sorted(timed.turns) or [0.0]
    figures = TurnStatistics(
        longest_ms=MS_PER_S * turns[-1],
        turns=len(timed.turns),
        p999_ms=MS_PER_S * turns[int(len(turns) * 0.999)],
        memory_mb=memory_mb(),
    )
    timed.turns = []
    print(json.dumps(figures._asdict()), flush=True)


# Clients and benchmarks


class ChildCoordinator:
    """A coordinator in a child process."""

    def __init__(self, fleet: Fleet, keys: str, management: bool = True) -> None:
        self.keys = keys
        self.ports = [_free_port(), _free_port()]
        arguments = json.dumps([*fleet, management, keys, self.ports])
        self.process = subprocess.Popen(
            [sys.executable, "-m", "bench.manage", "serve", arguments], stdout=subprocess.PIPE, text=True
        )
        assert self.process.stdout is not None
        self.output = self.process.stdout
        assert self.output.readline() == "ready\n"
        time.sleep(WARM_UP_S)
        self.figures()

    def figures(self) -> TurnStatistics:
        """Return the figures of the turns since the last call."""
        self.process.send_signal(signal.SIGUSR1)
        return TurnStatistics(**json.loads(self.output.readline()))

    def netconf(self) -> "NetconfClient":
        """Open a NETCONF session."""
        return NetconfClient(("127.0.0.1", self.ports[0]), self.keys, timeout=120)

    def gnmi(self) -> "grpc.Channel":
        """Open a gNMI channel."""
        names = ("ca.pem", "operations.key", "operations.pem")
        credentials = grpc.ssl_channel_credentials(*(Path(self.keys, name).read_bytes() for name in names))
        options = [("grpc.max_receive_message_length", 1 << 30)]
        return grpc.secure_channel(f"127.0.0.1:{self.ports[1]}", credentials, options)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.process.terminate()
        self.process.communicate()


def _free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port: int = sock.getsockname()[1]
        return port


def _method(channel: "grpc.Channel", name: str, kind: Any, stream: bool = False) -> Callable[..., Any]:  # noqa: ANN401
    make_method = channel.stream_stream if stream else channel.unary_unary
    method: Callable[..., Any] = make_method(
        f"/gnmi.gNMI/{name}", lambda message: message.SerializeToString(), kind.FromString
    )
    return method


def _path(*names: str) -> "pb.Path":
    return pb.Path(elem=[pb.PathElem(name=name) for name in names])


def measure_read(keys: str) -> None:
    """Measure how long a read of all state takes and how it lengthens the turns."""
    for fleet in FLEETS:
        with ChildCoordinator(fleet, keys) as child:
            time.sleep(IDLE_S)
            idle = child.figures()
            netconf = _read_by_netconf(child, fleet)
            gnmi = _read_by_gnmi(child)
        print(
            f"read: {fleet.backends} backends x {fleet.proxies} proxies x {len(ZONES)} zones: "
            f"NETCONF {netconf}; gNMI {gnmi}; without readers {idle.longest_ms:.1f} ms"
        )


def _read_by_netconf(child: ChildCoordinator, fleet: Fleet) -> str:
    started_at = time.perf_counter()
    answer = child.netconf().rpc("<get/>")
    seconds = time.perf_counter() - started_at
    assert answer.count("<backend>") == fleet.backends
    return _read_figures(child, seconds, len(answer))


def _read_by_gnmi(child: ChildCoordinator) -> str:
    channel = child.gnmi()
    request = pb.GetRequest(path=[_path("coordinator", "state")], encoding=pb.JSON_IETF)
    started_at = time.perf_counter()
    answer = _method(channel, "Get", pb.GetResponse)(request, timeout=120)
    seconds = time.perf_counter() - started_at
    channel.close()
    return _read_figures(child, seconds, answer.ByteSize())


def _read_figures(child: ChildCoordinator, seconds: float, size: int) -> str:
    longest_ms = child.figures().longest_ms
    return f"{seconds * MS_PER_S:.0f} ms, {size / 1e3:.0f} KB, longest turn {longest_ms:.1f} ms"


def measure_stream(keys: str) -> None:
    """Measure how many subscriptions of all state lengthen the turns."""
    fleet = FLEETS[0]
    with ChildCoordinator(fleet, keys) as child:
        time.sleep(IDLE_S)
        idle = child.figures()
        channel = child.gnmi()
        updates, busy = _subscribed_updates(child, channel)
        channel.close()
    print(
        f"stream: {SUBSCRIPTIONS} subscriptions of all state at 1 s, {fleet.backends} backends: "
        f"{sum(updates) / STREAM_S:.0f} updates a second in all, fewest of one {min(updates)}; "
        f"longest turn {busy.longest_ms:.1f} ms (without {idle.longest_ms:.1f}), "
        f"99.9 % {busy.p999_ms:.1f} ms"
    )


def _subscribed_updates(child: ChildCoordinator, channel: "grpc.Channel") -> tuple[list[int], TurnStatistics]:
    """Return the updates received by each subscription, and the figures of the turns meanwhile."""
    subscription = pb.Subscription(path=_path("coordinator", "state"), mode=pb.SAMPLE, sample_interval=SECOND)
    subscriptions = pb.SubscriptionList(encoding=pb.PROTO, subscription=[subscription])
    subscribe = _method(channel, "Subscribe", pb.SubscribeResponse, stream=True)
    calls = [subscribe(iter([pb.SubscribeRequest(subscribe=subscriptions)])) for _ in range(SUBSCRIPTIONS)]
    end = time.monotonic() + STREAM_S
    updates = [0] * SUBSCRIPTIONS

    def count(number: int, call: Any) -> None:  # noqa: ANN401 a call of grpc, which is untyped
        try:
            for answer in call:
                updates[number] += len(answer.update.update)
        except grpc.RpcError:
            pass  # cancelled below

    for number, call in enumerate(calls):
        threading.Thread(target=count, args=(number, call), daemon=True).start()
    time.sleep(max(0, end - time.monotonic()))
    figures = child.figures()
    for call in calls:
        call.cancel()
    return updates, figures


def measure_commit(keys: str) -> None:
    """Measure how many changes of the settings are committed a second."""
    with ChildCoordinator(FLEETS[0], keys) as child:
        netconf = _commits_by_netconf(child)
        gnmi = _commits_by_gnmi(child)
        figures = child.figures()
    print(
        f"commit: {netconf:.0f} a second by NETCONF (edit and commit), {gnmi:.0f} by gNMI; "
        f"longest turn {figures.longest_ms:.1f} ms"
    )


def _commits_by_netconf(child: ChildCoordinator) -> float:
    session = child.netconf()
    started_at = time.perf_counter()
    for number in range(COMMITS):
        assert reply_tag(session.edit(f"<drain><grace>{5_000_000 + number}</grace></drain>")) == "ok"
        assert reply_tag(session.commit()) == "ok"
    return COMMITS / (time.perf_counter() - started_at)


def _commits_by_gnmi(child: ChildCoordinator) -> float:
    channel = child.gnmi()
    set_method = _method(channel, "Set", pb.SetResponse)
    path = _path("coordinator", "settings", "drain", "grace")
    started_at = time.perf_counter()
    for number in range(COMMITS):
        update = pb.Update(path=path, val=pb.TypedValue(uint_val=6_000_000 + number))
        set_method(pb.SetRequest(update=[update]), timeout=10)
    rate = COMMITS / (time.perf_counter() - started_at)
    channel.close()
    return rate


def measure_memory(keys: str) -> None:
    """Measure resident memory with management off, on, and after many reads."""
    with ChildCoordinator(FLEETS[0], keys, management=False) as child:
        off = child.figures().memory_mb
    with ChildCoordinator(FLEETS[0], keys) as child:
        idle = child.figures().memory_mb
        sessions = [child.netconf() for _ in range(READERS)]
        for _ in range(READS):
            for session in sessions:
                session.send("<get/>")
            for session in sessions:
                session.receive()
        load = child.figures().memory_mb
    print(
        f"memory: {off:.1f} MB with management off, {idle:.1f} MB on and idle, {load:.1f} MB after "
        f"{READERS} clients read all state {READS} times"
    )


BENCHMARKS = {
    "read": measure_read,
    "stream": measure_stream,
    "commit": measure_commit,
    "memory": measure_memory,
}


def main(arguments: Sequence[str]) -> None:
    """Run the given benchmarks, or serve as the measured coordinator."""
    if arguments and arguments[0] == "serve":
        serve(*json.loads(arguments[1]))
        return
    with tempfile.TemporaryDirectory() as folder:
        keys = str(Path(folder, "keys"))
        make(keys, ["127.0.0.1"], ["operations"], "2")
        for name in arguments or BENCHMARKS:
            BENCHMARKS[name](keys)


if __name__ == "__main__":
    main(sys.argv[1:])
