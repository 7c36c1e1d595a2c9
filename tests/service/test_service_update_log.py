"""The log names what proxies are sent, so that a late drain can be followed from the list to its proxies."""

from support import wire_messages as messages
from support.backend_stand_ins import BackendStandIns
from support.discovery_stand_in import DiscoveryStandIn
from support.service_clients import ServiceClients
from support.service_harness import ServiceHarness
from support.service_outlets import ServiceLog

from granitespool.units import MILLISECOND, SECOND


def test_a_drain_is_logged_with_its_backend_and_a_whole_table_with_its_proxy(
    clients: ServiceClients, backends: BackendStandIns, discovery: DiscoveryStandIn, log: ServiceLog
) -> None:
    backends.start("a", "b")
    clients.join("p", 1)
    clients.wait_for("p", '"whole":true')
    log.wait_for('"table_sent","name":"t","proxy":1,"entries":2,"excluded":0')
    discovery.accept_watch()
    discovery.send_line(messages.list_changes(8, messages.listed("a", status="draining")))
    log.wait_for('"index":8,"entries":1,"draining":["a"],"gone":[],"omitted":0')


def test_exclusions_of_a_turn_are_logged_together(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    service.configure(
        entries_per_s=10, backlog_limit=60, message_header=3, bootstrap_entries=5, drain_grace=6 * SECOND
    )
    backends.start("a", "b", "c")
    for number in range(1, 7):
        clients.join(f"p{number}", number)
    service.discovery.accept_watch()
    service.discovery.send_line(messages.list_changes(8, messages.listed("a", status="draining")))
    service.advance(1500 * MILLISECOND)
    log.wait_for('"exclusions_sent"')
