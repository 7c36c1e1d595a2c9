"""The log names what proxies are sent, so that a late drain can be followed from the list to its proxies."""

from support import wire_messages as messages
from support.backend_stand_ins import BackendStandIns
from support.discovery_stand_in import DiscoveryStandIn
from support.service_clients import ServiceClients
from support.service_harness import ServiceHarness
from support.service_outlets import ServiceLog


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
    service: ServiceHarness, clients: ServiceClients, log: ServiceLog
) -> None:
    for number in range(1, 4):
        clients.join(f"p{number}", number)
    service.state.wait_for_joined(1, 2, 3)
    service.actions.exclude("a", excluded=True)
    service.actions.exclude("b", excluded=True)
    service.turn()
    log.wait_for('"exclusions_sent","name":"t","proxies":3,"backends":2')
