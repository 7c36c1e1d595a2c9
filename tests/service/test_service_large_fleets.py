"""The service at full size: thousands of streams at once, thousands of configured peers and backends."""

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack, suppress

import pytest
from support.large_configuration import large_configuration
from support.proxy_fleet import ProxyFleet
from support.wire_messages import framed

from granitespool.net import config
from granitespool.net.service import Service
from granitespool.planner.events import Acknowledged
from granitespool.units import SECOND

STREAMS = 4096


def test_four_thousand_streams_that_connect_at_once_are_all_accepted_and_assigned():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    streams = min(STREAMS, (hard - 200) // 2)  # fewer if the limit on descriptors requires it
    now = [10**18]
    read, write = os.pipe()
    os.set_blocking(read, False)
    with ExitStack() as stack:
        stack.callback(resource.setrlimit, resource.RLIMIT_NOFILE, (soft, hard))
        stack.callback(os.close, read)
        stack.callback(os.close, write)
        service = Service(config.parse_configuration(large_configuration(5, 200)), write, lambda: now[0])
        stack.callback(service.close)
        address, proxies = service.streams.listener.getsockname(), []
        for number in range(streams):
            sock = stack.enter_context(socket.socket())
            sock.setblocking(False)
            with suppress(BlockingIOError):
                sock.connect(address)
            proxies.append(sock)
            if number % 512 == 511:  # the system's accept queue may be short
                service.turn(0)
        for number, sock in enumerate(proxies):
            sock.send(
                framed(
                    json.dumps(
                        {
                            "type": "joined",
                            "node": number,
                            "locality": f"z{number % 3}",
                            "w": 1.0,
                            "cold": True,
                        }
                    )
                )
            )
        planner = service.coordinator.planner
        for _ in range(400):
            now[0] += SECOND // 10
            service.turn(0)
            with suppress(BlockingIOError):
                os.read(read, 1 << 20)
            for number, sock in enumerate(proxies):  # acknowledge the last barrier received
                with suppress(BlockingIOError):
                    data = sock.recv(1 << 16)
                    assert data, f"{number} was closed"
                    sequence = int(data.rpartition(b'"ticket":')[2].partition(b"}")[0])
                    sock.send(
                        framed(
                            json.dumps({"type": "applied", "node": number, "nonce": sequence, "latency": 1.0})
                        )
                    )
            if len(planner.assignment.proxies) == streams and not planner.assignment.unassigned:
                break
        assert (len(planner.assignment.proxies), len(planner.assignment.unassigned)) == (streams, 0)
        assert now[0] - 10**18 < 30 * SECOND  # the drain grace of the settings


@pytest.mark.parametrize("number", [1024, 2000])
def test_a_service_with_thousands_of_peers_and_backends_starts_reloads_and_stops(number, tmp_path):
    path, discovery = tmp_path / "config.json", socket.create_server(("127.0.0.1", 0))
    configuration = large_configuration(number, number, discovery=f"127.0.0.1:{discovery.getsockname()[1]}")
    path.write_text(json.dumps(configuration))
    process = subprocess.Popen(
        [sys.executable, "-m", "granitespool", "serve", "--config", str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        env={**os.environ, "LB_CONFIG": ""},
    )
    try:
        lines = iter(process.stdout.readline, b"")
        assert any(b'"serving"' in line for line in lines)
        path.write_text(json.dumps({**configuration, "peers": configuration["peers"][:-1]}))
        process.send_signal(signal.SIGHUP)
        assert any(b'"reloaded"' in line for line in lines)
        stop_requested_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        assert process.wait(5) == 0 and time.monotonic() - stop_requested_at < 0.7
    finally:
        process.kill()
        process.wait()
        discovery.close()


def count_calls(function):
    """Return the number of Python calls that a function makes: a cost that does not depend on the machine."""
    calls = [0]

    def count(frame, event, _):
        calls[0] += event == "call"

    sys.setprofile(count)
    try:
        function()
    finally:
        sys.setprofile(None)
    return calls[0]


def calls_for_an_acknowledgement(proxies):
    """Return the calls for one acknowledgement among unassigned proxies while the channel is full."""
    fleet = ProxyFleet(
        200,
        3,
        entries_per_s=800.0,
        backlog_limit=28000.0,
        drain_grace=36 * SECOND,
        proxies_expected=proxies,
        coordinators=5,
    )
    for proxy in range(proxies):
        fleet.join(proxy)
    fleet.turn(0)
    channel = fleet.coordinator.planner.in_flight
    channel.limit = channel.in_flight
    batch = next(iter(channel._batches.values()))
    proxy = next(iter(batch.entries))
    return count_calls(
        lambda: fleet.coordinator.report(
            fleet.now, Acknowledged(proxy=proxy, sequence=batch.sequence, latency=SECOND)
        )
    )


def test_the_work_for_an_acknowledgement_does_not_grow_with_the_fleet():
    # Guards against an acknowledgement that visits all batches in flight, or sorts and tries to assign all
    # unassigned proxies
    assert calls_for_an_acknowledgement(1600) <= calls_for_an_acknowledgement(200) <= 30
