"""The program at its full size: thousands of streams at once, thousands of names, a start and an end."""

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


def test_four_thousand_streams_in_one_instant_are_all_taken_and_bound():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    streams = min(STREAMS, (hard - 200) // 2)  # fewer where descriptors do not allow
    now = [10**18]
    read, write = os.pipe()
    os.set_blocking(read, False)
    with ExitStack() as stack:
        stack.callback(resource.setrlimit, resource.RLIMIT_NOFILE, (soft, hard))
        stack.callback(os.close, read)
        stack.callback(os.close, write)
        service = Service(config.parse_configuration(large_configuration(5, 200)), write, lambda: now[0])
        stack.callback(service.close)
        where, proxies = service.streams.listener.getsockname(), []
        for number in range(streams):
            sock = stack.enter_context(socket.socket())
            sock.setblocking(False)
            with suppress(BlockingIOError):
                sock.connect(where)
            proxies.append(sock)
            if number % 512 == 511:  # the system's own queue may be short
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
            for number, sock in enumerate(proxies):  # applies whatever it got; its answers name the last mark
                with suppress(BlockingIOError):
                    data = sock.recv(1 << 16)
                    assert data, f"{number} was closed"
                    mark = int(data.rpartition(b'"ticket":')[2].partition(b"}")[0])
                    sock.send(
                        framed(json.dumps({"type": "applied", "node": number, "nonce": mark, "latency": 1.0}))
                    )
            if len(planner.assignment.proxies) == streams and not planner.assignment.unassigned:
                break
        assert (len(planner.assignment.proxies), len(planner.assignment.unassigned)) == (streams, 0)
        assert now[0] - 10**18 < 30 * SECOND  # the settings' grace


@pytest.mark.parametrize("number", [1024, 2000])
def test_a_configuration_of_thousands_starts_reloads_and_ends(number, tmp_path):
    path, agent = tmp_path / "config.json", socket.create_server(("127.0.0.1", 0))
    written = large_configuration(number, number, discovery=f"127.0.0.1:{agent.getsockname()[1]}")
    path.write_text(json.dumps(written))
    process = subprocess.Popen(
        [sys.executable, "-m", "granitespool", "serve", "--config", str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        env={**os.environ, "LB_CONFIG": ""},
    )
    try:
        lines = iter(process.stdout.readline, b"")
        assert any(b'"serving"' in line for line in lines)
        path.write_text(json.dumps({**written, "peers": written["peers"][:-1]}))
        process.send_signal(signal.SIGHUP)
        assert any(b'"reloaded"' in line for line in lines)
        asked = time.monotonic()
        process.send_signal(signal.SIGTERM)
        assert process.wait(5) == 0 and time.monotonic() - asked < 0.7
    finally:
        process.kill()
        process.wait()
        agent.close()


def steps(call):
    """How many Python calls this makes: work that a noisy machine counts alike."""
    made = [0]

    def count(frame, event, _):
        made[0] += event == "call"

    sys.setprofile(count)
    try:
        call()
    finally:
        sys.setprofile(None)
    return made[0]


def work_for_a_mark(proxies):
    """Steps for one answer among so many who wait to be bound, with no room to bind one."""
    storm = ProxyFleet(
        200,
        3,
        entries_per_s=800.0,
        backlog_limit=28000.0,
        drain_grace=36 * SECOND,
        proxies_expected=proxies,
        coordinators=5,
    )
    for proxy in range(proxies):
        storm.join(proxy)
    storm.turn(0)
    channel = storm.coordinator.planner.in_flight
    channel.limit = channel.in_flight
    batch = next(iter(channel._batches.values()))
    proxy = next(iter(batch.entries))
    return steps(
        lambda: storm.coordinator.report(
            storm.now, Acknowledged(proxy=proxy, sequence=batch.sequence, latency=SECOND)
        )
    )


def test_work_for_a_mark_follows_the_proxy_and_not_the_fleet():
    # Before, an answer walked all turns that waited, and sorted and tried all who were unbound
    assert work_for_a_mark(1600) <= work_for_a_mark(200) <= 30
