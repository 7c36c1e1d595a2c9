"""Health checks over the network, and their effect on the backend's entry in the tables."""

from support import wire_messages as messages
from support.backend_stand_ins import BackendStandIns
from support.discovery_stand_in import DiscoveryStandIn
from support.service_clients import ServiceClients
from support.service_harness import ServiceHarness
from support.service_outlets import ServiceLog

from granitespool.units import MILLISECOND, SECOND


def test_a_backend_enters_slow_start_after_a_successful_health_check_and_is_not_published_otherwise(
    service: ServiceHarness,
    clients: ServiceClients,
    discovery: DiscoveryStandIn,
    backends: BackendStandIns,
    log: ServiceLog,
) -> None:
    service.configure(health_checks_allowed=True)
    backends.start("a", "b")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.clear_received("p")
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    backends.start("c", "d", "e", "f")
    backends.stop("d")
    backends.answer_health_checks("e", "")
    backends.answer_health_checks("f", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    discovery.send_line(
        messages.list_changes(
            9, messages.listed("c"), messages.listed("d"), messages.listed("e"), messages.listed("f")
        )
    )
    clients.wait_for("p", '["c",0.25]')
    log.wait_for('"health_check","name":"t","backend":"d","status":"unreachable"')
    log.wait_for('"backend":"f","status":"full"')
    service.advance_to(700 * MILLISECOND)
    log.wait_for('"backend":"e","status":"timeout"')
    assert '"d"' not in clients.received("p")
    assert '"e"' not in clients.received("p")


def test_a_backend_is_not_published_after_an_invalid_or_error_response_to_its_health_check(
    service: ServiceHarness,
    clients: ServiceClients,
    discovery: DiscoveryStandIn,
    backends: BackendStandIns,
    log: ServiceLog,
) -> None:
    service.configure(health_checks_allowed=True)
    backends.start("a")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.clear_received("p")
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    backends.start("c", "d")
    backends.answer_health_checks("c", "nonsense\r\n\r\n")
    backends.answer_health_checks("d", "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
    discovery.send_line(messages.list_changes(9, messages.listed("c"), messages.listed("d")))
    log.wait_for('"backend":"c","status":"reset"')
    log.wait_for('"backend":"d","status":"error"')
    assert '"c"' not in clients.received("p")


def test_a_response_that_arrived_before_the_timeout_counts_even_if_it_is_read_later(
    service: ServiceHarness,
    clients: ServiceClients,
    discovery: DiscoveryStandIn,
    backends: BackendStandIns,
    log: ServiceLog,
) -> None:
    service.configure(health_checks_allowed=True)
    backends.start("a")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.clear_received("p")
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    backends.start("c")
    backends.answer_health_checks("c", "")
    discovery.send_line(messages.list_changes(9, messages.listed("c")))
    service.state.wait_for_health_check("c")
    with service.suspended():
        clients.send("p", messages.HEARTBEAT)
        service.faults.stop_before_reading(
            2 * SECOND, lambda: backends.send_answer("c", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        )
    log.wait_for('"backend":"c","status":"ok"')
    assert '"timeout"' not in log.text
