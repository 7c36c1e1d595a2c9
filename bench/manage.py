"""What managers' doors cost: reading all state, subscriptions, commits, by stand-in managers on loopback.

    python -m bench.manage [read] [stream] [commit] [memory]      (all of them where none is named)

The coordinator runs in a process of its own with a synthetic fleet: backends of the list, proxies reported
as joined (no stream behind them), one report a backend and zone a second. Its turns are timed from the end
of one wait to the begin of the next."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

from granitespool.net.service import Service
from granitespool.operator_settings import Gnmi, Netconf, Operator, Tls, User
from granitespool.settings import settings_from_wire

if sys.argv[1:2] != ["serve"]:  # the coordinator's process has only what a coordinator has
    import grpc

    from granitespool.cli.keys import make
    from granitespool.emulator.managers import Manager, tag_of
    from granitespool.gnmi import gnmi_pb2 as pb

SECOND = 1_000_000_000
SIZES = (120, 640), (1000, 5000)
STREAMS, STREAM_S = 100, 8  # subscriptions at 1 s; how long they are looked at
COMMITS = 40


class Timed:
    """The loop's epoll, with the time between two waits noted."""

    def __init__(self, epoll):
        self.epoll, self.left, self.turns = epoll, time.perf_counter(), []

    def __getattr__(self, name):
        return getattr(self.epoll, name)

    def poll(self, *words):
        now = time.perf_counter()
        if words[0] or now - self.left > 1e-5:
            self.turns.append(now - self.left)
        found = self.epoll.poll(*words)
        self.left = time.perf_counter()
        return found


def memory_mb():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)


def serve(backends, proxies, doors, keys, ports):
    """The child: serves until SIGTERM; SIGUSR1 prints and forgets the turns so far."""
    zones = ["n", "s"]
    settings = settings_from_wire(
        {
            "zones": zones,
            "classes": [{"name": "pay", "worth": 1.0}],
            "family_info": {"egress_per_s": 1e6, "most_waiting": 2e6, "proxy_count": proxies},
            "rules": {},
        }
    )
    known = [
        {
            "name": f"s-{k:05}",
            "address": "127.0.0.1:9",
            "zone": zones[k % 2],
            "type": "m",
            "status": "ready",
            "weight": 1.0,
            "since_ms": 0,
        }
        for k in range(backends)
    ]
    operator = (
        Operator(
            tls=Tls(certificate=f"{keys}/server.pem", key=f"{keys}/server.key", authorities=f"{keys}/ca.pem"),
            netconf=Netconf(listen=f"127.0.0.1:{ports[0]}", sessions=8),
            gnmi=Gnmi(listen=f"127.0.0.1:{ports[1]}", sessions=8, streams=200),
            users={"operations": User(certificate="cn:operations", write="*")},
        )
        if doors
        else None
    )
    service = Service(
        {
            "name": "bench",
            "listen": ("127.0.0.1", 0),
            "discovery": ("127.0.0.1", 9),
            "seed": 1,
            "sockets": 1024,
            "probes": 4,
            "connections": 900,
            "buffers": 64,
            "peer_listen": None,
            "peers": [],
            "peers_all": None,
            "known": {"index": 1, "endpoints": known},
            "settings": settings,
            "operator": operator,
        },
        os.open(os.devnull, os.O_WRONLY),
    )
    loop, coordinator = service.loop, service.coordinator
    for number in range(proxies):
        coordinator.report(loop.now, "joined", proxy=number, zone=zones[number % 2], standing=False, rate=1.0)
    coordinator.tick(loop.now)
    coordinator.waiting.clear()

    def reports():
        """Each backend from each zone once a second, a twentieth at a time; nothing is written to anyone."""
        while True:
            for k in range(20):
                for entry in known[k::20]:
                    for zone in zones:
                        coordinator.report(
                            loop.now,
                            "heard",
                            zone=zone,
                            backend=entry["name"],
                            tries=10,
                            failed=0,
                            mean=40_000_000,
                            window=SECOND,
                            load={},
                        )
                coordinator.waiting.clear()
                yield None, 0, loop.now + SECOND // 20

    loop.spawn(reports())
    timed = loop.epoll = Timed(loop.epoll)

    def told(*_):
        turns, timed.turns = sorted(timed.turns), []
        print(
            json.dumps(
                {
                    "longest_ms": 1e3 * turns[-1] if turns else 0,
                    "turns": len(turns),
                    "p999_ms": 1e3 * turns[int(len(turns) * 0.999)] if turns else 0,
                    "memory_mb": memory_mb(),
                }
            ),
            flush=True,
        )

    signal.signal(signal.SIGUSR1, told)
    signal.signal(signal.SIGTERM, lambda *_: service.stop())
    print("ready", flush=True)
    service.run()


class Child:
    """A coordinator in a process of its own."""

    def __init__(self, backends, proxies, keys, doors=True):
        self.ports, self.keys = [], keys
        for _ in range(2):
            with socket.create_server(("127.0.0.1", 0)) as sock:
                self.ports.append(sock.getsockname()[1])
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "bench.manage",
                "serve",
                json.dumps([backends, proxies, doors, keys, self.ports]),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdout.readline() == "ready\n"
        time.sleep(2.5)  # tables, first reports
        self.figures()

    def figures(self):
        """Of the turns since the last call."""
        self.process.send_signal(signal.SIGUSR1)
        return json.loads(self.process.stdout.readline())

    def netconf(self):
        return Manager(("127.0.0.1", self.ports[0]), self.keys, timeout=120)

    def gnmi(self):
        read = [
            open(f"{self.keys}/{name}", "rb").read()
            for name in ("ca.pem", "operations.key", "operations.pem")
        ]
        return grpc.secure_channel(
            f"127.0.0.1:{self.ports[1]}",
            grpc.ssl_channel_credentials(*read),
            [("grpc.max_receive_message_length", 1 << 30)],
        )

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.process.terminate()
        self.process.communicate()


def method(channel, name, kind, stream=False):
    make_ = channel.stream_stream if stream else channel.unary_unary
    return make_(f"/gnmi.gNMI/{name}", lambda message: message.SerializeToString(), kind.FromString)


def state():
    return pb.Path(elem=[pb.PathElem(name="coordinator"), pb.PathElem(name="state")])


def measure_read(keys):
    for backends, proxies in SIZES:
        with Child(backends, proxies, keys) as child:
            time.sleep(3)
            idle = child.figures()
            begun = time.perf_counter()
            answer = child.netconf().ask("<get/>")
            took, netconf = time.perf_counter() - begun, child.figures()
            assert answer.count("<backend>") == backends
            size = len(answer)
            channel = child.gnmi()
            begun = time.perf_counter()
            got = method(channel, "Get", pb.GetResponse)(
                pb.GetRequest(path=[state()], encoding=pb.JSON_IETF), timeout=120
            )
            took2, gnmi = time.perf_counter() - begun, child.figures()
            channel.close()
        print(
            f"read: {backends} backends x {proxies} proxies x 2 zones: NETCONF {took * 1e3:.0f} ms, "
            f"{size / 1e3:.0f} KB, longest turn {netconf['longest_ms']:.1f} ms; gNMI {took2 * 1e3:.0f} ms, "
            f"{got.ByteSize() / 1e3:.0f} KB, longest turn {gnmi['longest_ms']:.1f} ms; "
            f"without readers {idle['longest_ms']:.1f} ms"
        )


def measure_stream(keys):
    with Child(*SIZES[0], keys) as child:
        idle_s = child.figures() and time.sleep(3) or child.figures()
        channel = child.gnmi()
        subscribe = method(channel, "Subscribe", pb.SubscribeResponse, stream=True)
        calls = [
            subscribe(
                iter(
                    [
                        pb.SubscribeRequest(
                            subscribe=pb.SubscriptionList(
                                encoding=pb.PROTO,
                                subscription=[
                                    pb.Subscription(path=state(), mode=pb.SAMPLE, sample_interval=SECOND)
                                ],
                            )
                        )
                    ]
                )
            )
            for _ in range(STREAMS)
        ]
        end, updates = time.monotonic() + STREAM_S, [0] * STREAMS
        import threading  # noqa: PLC0415

        def take(k, call):
            try:
                for answer in call:
                    updates[k] += len(answer.update.update)
            except grpc.RpcError:
                pass

        threads = [threading.Thread(target=take, args=each, daemon=True) for each in enumerate(calls)]
        for thread in threads:
            thread.start()
        time.sleep(max(0, end - time.monotonic()))
        busy = child.figures()
        for call in calls:
            call.cancel()
        channel.close()
    print(
        f"stream: {STREAMS} subscriptions of all state at 1 s, {SIZES[0][0]} backends: "
        f"{sum(updates) / STREAM_S:.0f} updates a second in all, fewest of one "
        f"{min(updates)}; longest turn "
        f"{busy['longest_ms']:.1f} ms (without "
        f"{idle_s['longest_ms']:.1f}), 99.9 % {busy['p999_ms']:.1f} ms"
    )


def measure_commit(keys):
    with Child(*SIZES[0], keys) as child:
        one = child.netconf()
        begun = time.perf_counter()
        for k in range(COMMITS):
            assert tag_of(one.edit(f"<drain><grace>{5_000_000 + k}</grace></drain>")) == "ok"
            assert tag_of(one.commit()) == "ok"
        netconf = time.perf_counter() - begun
        channel = child.gnmi()
        path = pb.Path(
            elem=[pb.PathElem(name=name) for name in ("coordinator", "settings", "drain", "grace")]
        )
        set_ = method(channel, "Set", pb.SetResponse)
        begun = time.perf_counter()
        for k in range(COMMITS):
            set_(
                pb.SetRequest(update=[pb.Update(path=path, val=pb.TypedValue(uint_val=6_000_000 + k))]),
                timeout=10,
            )
        gnmi, figures = time.perf_counter() - begun, child.figures()
        channel.close()
    print(
        f"commit: {COMMITS / netconf:.0f} a second by NETCONF (edit and commit), "
        f"{COMMITS / gnmi:.0f} by gNMI; "
        f"longest turn {figures['longest_ms']:.1f} ms"
    )


def measure_memory(keys):
    with Child(*SIZES[0], keys, doors=False) as child:
        off = child.figures()["memory_mb"]
    with Child(*SIZES[0], keys) as child:
        idle = child.figures()["memory_mb"]
        managers = [child.netconf() for _ in range(6)]
        for _ in range(4):
            for one in managers:
                one.send("<get/>")
            for one in managers:
                one.receive()
        load = child.figures()["memory_mb"]
    print(
        f"memory: {off:.1f} MB with the doors off, {idle:.1f} MB on and idle, {load:.1f} MB after six "
        "managers read all state four times"
    )


MEASURES = {
    "read": measure_read,
    "stream": measure_stream,
    "commit": measure_commit,
    "memory": measure_memory,
}


def main(words):
    if words[:1] == ["serve"]:
        return serve(*json.loads(words[1]))
    with tempfile.TemporaryDirectory() as folder:
        keys = os.path.join(folder, "keys")
        make(keys, ["127.0.0.1"], ["operations"], "2")
        for name in words or MEASURES:
            MEASURES[name](keys)
    return None


if __name__ == "__main__":
    main(sys.argv[1:])
