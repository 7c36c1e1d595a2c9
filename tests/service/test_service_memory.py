"""The memory of the service does not grow with the number of former backends and streams."""

from support import wire_messages as messages
from support.backend_stand_ins import BackendStandIns
from support.discovery_stand_in import DiscoveryStandIn
from support.service_clients import ServiceClients
from support.service_harness import ServiceHarness
from support.service_outlets import ServiceLog

from granitespool.units import MILLISECOND, SECOND


def test_collections_do_not_grow_as_backends_and_streams_come_and_go(
    service: ServiceHarness,
    clients: ServiceClients,
    discovery: DiscoveryStandIn,
    backends: BackendStandIns,
    log: ServiceLog,
) -> None:
    backends.start("a", "b")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.connect("c")
    clients.send("c", messages.collector("n"))
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    for number in range(120):
        replaced = messages.list_changes(
            100 + number,
            messages.listed(f"churned-{number}", address="127.0.0.1:9", since_ms=service.now // MILLISECOND),
            messages.listed(f"churned-{number - 1}", "gone", address="127.0.0.1:9", since_ms=0),
        )
        discovery.send_line(replaced)
        clients.join("churner", 7)
        service.advance(SECOND)
        clients.close("churner")
        clients.wait_for_heartbeat("p")
    assert service.state.sizes_above(40) == {}
    clients.send("c", messages.load_report("churned-3", total=9, errors=9, rtt=0.0, interval=1000.0))
    log.wait_for("the unknown 'churned-3'")
    discovery.send_line(
        messages.list_changes(900, messages.listed("churned-3", address="127.0.0.1:9", since_ms=0))
    )
    clients.wait_for("p", '["churned-3",')
    assert '"task_failed"' not in log.text
    assert '"internal_error"' not in log.text
