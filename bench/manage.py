"""What the management protocols cost: reads of all state, subscriptions, commits, by clients on loopback.

    python -m bench.manage [read] [stream] [commit] [memory]      (all of them where none is named)

The coordinator runs in a process of its own with a synthetic fleet: backends of the list, proxies reported
as joined (no stream behind them), one report a backend and zone a second. Its turns are timed from the end
of one wait to the begin of the next."""

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

if sys.argv[1:2] != ["serve"]:  # the coordinator's process has only what a coordinator has
    import grpc

    from granitespool.cli.keys import make
    from granitespool.gnmi import gnmi_pb2 as pb
    from granitespool.simulation.netconf_client import NetconfClient, reply_tag

MS_PER_S = 1e3
ZONES = ("n", "s")
REPORTED_MEAN = 40_000_000  # ns that a backend takes for an answer
PARTS_PER_SECOND = 20  # the fleet's reports come in so many parts
WARM_UP_S = 2.5  # tables, first reports
IDLE_S = 3
SUBSCRIPTIONS = 100  # of all state, sampled each second
STREAM_S = 8  # for how long they are looked at
COMMITS = 40
READERS = 6
READS = 4  # of each reader
SHORTEST_TURN_S = 1e-5  # a turn under it only polled


class Fleet(NamedTuple):
    """How many backends and proxies."""

    backends: int
    proxies: int


FLEETS = (Fleet(120, 640), Fleet(1000, 5000))


class TurnFigures(NamedTuple):
    """Of the coordinator's turns since the last look, and its memory now."""

    longest_ms: float
    turns: int
    p999_ms: float
    memory_mb: float


# The coordinator's process


class TimedEpoll:
    """The loop's epoll, with the time between two waits noted in `turns`, s."""

    def __init__(self, epoll: select.epoll) -> None:
        self.epoll = epoll
        self.turns: list[float] = []
        self._wait_ended = time.perf_counter()

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401 as epoll has it
        return getattr(self.epoll, name)

    def poll(self, timeout: float, max_events: int) -> list[tuple[int, int]]:
        """Waits as epoll does."""
        now = time.perf_counter()
        if timeout or now - self._wait_ended > SHORTEST_TURN_S:
            self.turns.append(now - self._wait_ended)
        events = self.epoll.poll(timeout, max_events)
        self._wait_ended = time.perf_counter()
        return events


def memory_mb() -> float:
    """The process' resident memory."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)


def serve(backends: int, proxies: int, management: bool, keys: str, ports: Sequence[int]) -> None:
    """Serves until SIGTERM; SIGUSR1 prints the turns so far, and begins to count anew."""
    configuration = _configuration(backends, proxies)
    if management:
        configuration["operator"] = _operator(keys, ports)
    service = Service(configuration, os.open(os.devnull, os.O_WRONLY))
    _join_proxies(service, proxies)
    service.loop.spawn(_reports(service, [entry["name"] for entry in configuration["known"]["endpoints"]]))
    timed = TimedEpoll(service.loop.epoll)
    service.loop.epoll = timed  # type: ignore[assignment]  # it stands in for epoll
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
    return {  # type: ignore[typeddict-item]  # managers see no limits here
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
    """Each backend from each zone once a second, in parts; nothing is written to anyone."""
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
    figures = TurnFigures(
        longest_ms=MS_PER_S * turns[-1],
        turns=len(timed.turns),
        p999_ms=MS_PER_S * turns[int(len(turns) * 0.999)],
        memory_mb=memory_mb(),
    )
    timed.turns = []
    print(json.dumps(figures._asdict()), flush=True)


# The clients


class Child:
    """A coordinator in a process of its own."""

    def __init__(self, fleet: Fleet, keys: str, management: bool = True) -> None:
        self.keys = keys
        self.ports = [_free_port(), _free_port()]
        words = json.dumps([*fleet, management, keys, self.ports])
        self.process = subprocess.Popen(
            [sys.executable, "-m", "bench.manage", "serve", words], stdout=subprocess.PIPE, text=True
        )
        assert self.process.stdout is not None
        self.output = self.process.stdout
        assert self.output.readline() == "ready\n"
        time.sleep(WARM_UP_S)
        self.figures()

    def figures(self) -> TurnFigures:
        """Of the turns since the last call."""
        self.process.send_signal(signal.SIGUSR1)
        return TurnFigures(**json.loads(self.output.readline()))

    def netconf(self) -> "NetconfClient":
        """A NETCONF session."""
        return NetconfClient(("127.0.0.1", self.ports[0]), self.keys, timeout=120)

    def gnmi(self) -> "grpc.Channel":
        """A gNMI connection."""
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
    """How long it takes to read all state, and what it does to the turns."""
    for fleet in FLEETS:
        with Child(fleet, keys) as child:
            time.sleep(IDLE_S)
            idle = child.figures()
            netconf = _read_by_netconf(child, fleet)
            gnmi = _read_by_gnmi(child)
        print(
            f"read: {fleet.backends} backends x {fleet.proxies} proxies x {len(ZONES)} zones: "
            f"NETCONF {netconf}; gNMI {gnmi}; without readers {idle.longest_ms:.1f} ms"
        )


def _read_by_netconf(child: Child, fleet: Fleet) -> str:
    begun = time.perf_counter()
    answer = child.netconf().ask("<get/>")
    seconds = time.perf_counter() - begun
    assert answer.count("<backend>") == fleet.backends
    return _read_figures(child, seconds, len(answer))


def _read_by_gnmi(child: Child) -> str:
    channel = child.gnmi()
    request = pb.GetRequest(path=[_path("coordinator", "state")], encoding=pb.JSON_IETF)
    begun = time.perf_counter()
    answer = _method(channel, "Get", pb.GetResponse)(request, timeout=120)
    seconds = time.perf_counter() - begun
    channel.close()
    return _read_figures(child, seconds, answer.ByteSize())


def _read_figures(child: Child, seconds: float, size: int) -> str:
    longest_ms = child.figures().longest_ms
    return f"{seconds * MS_PER_S:.0f} ms, {size / 1e3:.0f} KB, longest turn {longest_ms:.1f} ms"


def measure_stream(keys: str) -> None:
    """What many subscriptions of all state do to the turns."""
    fleet = FLEETS[0]
    with Child(fleet, keys) as child:
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


def _subscribed_updates(child: Child, channel: "grpc.Channel") -> tuple[list[int], TurnFigures]:
    """(updates that came of each subscription, the turns meanwhile)."""
    one = pb.Subscription(path=_path("coordinator", "state"), mode=pb.SAMPLE, sample_interval=SECOND)
    subscriptions = pb.SubscriptionList(encoding=pb.PROTO, subscription=[one])
    subscribe = _method(channel, "Subscribe", pb.SubscribeResponse, stream=True)
    calls = [subscribe(iter([pb.SubscribeRequest(subscribe=subscriptions)])) for _ in range(SUBSCRIPTIONS)]
    end = time.monotonic() + STREAM_S
    updates = [0] * SUBSCRIPTIONS

    def count(number: int, call: Any) -> None:  # noqa: ANN401 a call of grpc
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
    """How many changes of the settings a second."""
    with Child(FLEETS[0], keys) as child:
        netconf = _commits_by_netconf(child)
        gnmi = _commits_by_gnmi(child)
        figures = child.figures()
    print(
        f"commit: {netconf:.0f} a second by NETCONF (edit and commit), {gnmi:.0f} by gNMI; "
        f"longest turn {figures.longest_ms:.1f} ms"
    )


def _commits_by_netconf(child: Child) -> float:
    session = child.netconf()
    begun = time.perf_counter()
    for number in range(COMMITS):
        assert reply_tag(session.edit(f"<drain><grace>{5_000_000 + number}</grace></drain>")) == "ok"
        assert reply_tag(session.commit()) == "ok"
    return COMMITS / (time.perf_counter() - begun)


def _commits_by_gnmi(child: Child) -> float:
    channel = child.gnmi()
    set_method = _method(channel, "Set", pb.SetResponse)
    path = _path("coordinator", "settings", "drain", "grace")
    begun = time.perf_counter()
    for number in range(COMMITS):
        update = pb.Update(path=path, val=pb.TypedValue(uint_val=6_000_000 + number))
        set_method(pb.SetRequest(update=[update]), timeout=10)
    rate = COMMITS / (time.perf_counter() - begun)
    channel.close()
    return rate


def measure_memory(keys: str) -> None:
    """What the process takes with management off, on, and after many reads."""
    with Child(FLEETS[0], keys, management=False) as child:
        off = child.figures().memory_mb
    with Child(FLEETS[0], keys) as child:
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


MEASURES = {
    "read": measure_read,
    "stream": measure_stream,
    "commit": measure_commit,
    "memory": measure_memory,
}


def main(words: Sequence[str]) -> None:
    """Measures what is named, or serves as the coordinator that is measured."""
    if words and words[0] == "serve":
        serve(*json.loads(words[1]))
        return
    with tempfile.TemporaryDirectory() as folder:
        keys = str(Path(folder, "keys"))
        make(keys, ["127.0.0.1"], ["operations"], "2")
        for name in words or MEASURES:
            MEASURES[name](keys)


if __name__ == "__main__":
    main(sys.argv[1:])
