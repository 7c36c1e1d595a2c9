"""Peers that send much leave the others their shares of each turn and of the receive buffers."""

import itertools
import re

from support import wire_messages as messages
from support.backend_stand_ins import BackendStandIns
from support.discovery_stand_in import DiscoveryStandIn
from support.service_clients import ServiceClients
from support.service_harness import ServiceHarness
from support.service_outlets import ServiceLog

from granitespool.net.loop import RESUME_TIME_MAX

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
