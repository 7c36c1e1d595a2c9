"""Peers that send much leave the others their shares of each turn and of the receive buffers."""

import itertools
import re

from support import wire_messages as messages
from support.backend_stand_ins import BackendStandIns
from support.discovery_stand_in import DiscoveryStandIn
from support.service_clients import ServiceClients
from support.service_harness import ServiceHarness
from support.service_outlets import ServiceLog

from granitespool.net.buffers import BUFFER_SIZE
from granitespool.net.loop import RESUME_TIME_MAX

LARGE = 100_000  # bytes of a message


def wait_for_buffers(service: ServiceHarness, size: int) -> None:
    """Wait until the service has received messages of this size (bytes) in all."""
    service.wait_until(lambda: service.state.buffers_in_use * BUFFER_SIZE >= size, size)


# Guards against heartbeats that are answered only after the large messages of all other peers were parsed
def test_each_turn_handles_all_small_messages_and_then_one_large_one(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    for number, name in enumerate("pqrs"):
        clients.join(name, number)
    clients.wait_for("s", "whole")
    for name in "pqr":
        clients.send_all_but_last_byte(name, LARGE)
    wait_for_buffers(service, 3 * LARGE)
    with service.suspended():
        for name in "pqr":
            clients.sockets[name].sendall(b" ")
        clients.send_at_once("s", messages.HEARTBEAT)
    assert '"pong"' in clients.sent_to["s"]
    for handled in (1, 2, 3):
        assert log.text.count('"reason":"a message is not JSON') == handled
        service.turn()
    service.state.wait_for_joined(3)
    assert service.state.buffers_in_use <= 0


def test_what_a_peer_sends_after_a_large_message_is_handled_after_it(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.join("p", 1)
    clients.join("q", 2)
    clients.wait_for("q", "whole")
    padding = "x" * LARGE
    for name in "pq":
        clients.write(name, messages.framed(f'{{"type":"{padding}"}}') + messages.framed(messages.HEARTBEAT))
    for name in "pq":
        clients.wait_for(name, '"pong"')
    assert log.text.count('"message_dropped"') == 2


def test_a_peer_that_closes_its_connection_while_its_large_message_waits_leaves_nothing_behind(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    for number, name in enumerate("pqr"):
        clients.join(name, number)
    clients.wait_for("r", "whole")
    for name in "pqr":
        clients.send_all_but_last_byte(name, LARGE)
    wait_for_buffers(service, 3 * LARGE)
    with service.suspended():
        for name in "pqr":
            clients.sockets[name].sendall(b" ")
            clients.close(name)
    service.state.wait_for_no_connections()
    assert not service.instance.streams.large_waiting
    assert service.state.buffers_in_use <= 0


# Guards against a proxy that is disconnected because half messages of other proxies hold all buffers
def test_a_proxy_without_a_buffer_gets_one_of_the_peer_that_holds_most(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    service.limits.update(memory_mb=9)
    backends.start("a")
    for number, name in enumerate("pqs"):
        clients.join(name, number)
    clients.connect("c")
    clients.send("c", messages.collector("n"))
    log.wait_for('"collector_joined"')
    clients.wait_for("s", "whole")
    clients.send_all_but_last_byte("p", 1_048_576)
    clients.send_all_but_last_byte("q", 300_000)
    service.faults.limit_buffers(0)
    clients.wait_for_heartbeat("s")
    clients.wait_for_heartbeat("c")
    clients.wait_for_end("p")
    service.state.wait_for_joined(1, 2)
    assert '"role":"collector"' not in log.text
    assert "no buffer" not in log.text


# Guards against peers that wait until all lines of a fast watch were handled
def test_the_watch_handles_its_lines_over_several_turns_and_in_order(
    service: ServiceHarness,
    clients: ServiceClients,
    discovery: DiscoveryStandIn,
    backends: BackendStandIns,
    log: ServiceLog,
) -> None:
    backends.start("a")
    discovery.accept_watch()
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    lines = [messages.list_changes(index, messages.listed("a", "draining")) for index in range(8, 18)]
    loop = service.instance.loop
    standing_clock = loop.clock
    readings = itertools.count()  # each step of the service takes its whole share of the turn
    loop.clock = lambda: standing_clock() + next(readings) * RESUME_TIME_MAX
    with service.suspended():
        discovery.send_unread_line("\n".join(lines))
        clients.send_at_once("p", messages.HEARTBEAT)
    assert '"pong"' in clients.sent_to["p"]
    assert log.text.count('"endpoint_list"') < len(lines)
    log.wait_for('"index":17')
    handled = [int(index) for index in re.findall('"endpoint_list".*"index":([0-9]+)', log.text)]
    assert handled == [7, *range(8, 18)]
    loop.clock = standing_clock
