"""Reloads of the configuration of a running service."""

from support import wire_messages as messages
from support.backend_stand_ins import BackendStandIns
from support.discovery_stand_in import DiscoveryStandIn
from support.service_clients import ServiceClients
from support.service_harness import ServiceHarness
from support.service_outlets import ServiceLog

from granitespool.units import SECOND


def test_a_reload_moves_the_watch_and_keeps_streams_tables_and_the_list(
    service: ServiceHarness,
    clients: ServiceClients,
    discovery: DiscoveryStandIn,
    backends: BackendStandIns,
    log: ServiceLog,
) -> None:
    backends.start("a", "b", "c")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.clear_received("p")
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.send_line(messages.list_changes(9, messages.listed("b", "draining")))
    clients.wait_for("p", '["b",0.0]')
    clients.clear_received("p")
    discovery.move()
    service.reload()
    service.reload()
    discovery.wait_for_request("GET /discovery/hosts?watch=1&after=9")
    log.wait_for('"reloaded"')
    discovery.accept_watch()
    discovery.send_line(messages.list_changes(10, messages.listed("c", "draining")))
    clients.wait_for("p", '["c",0.0]')
    assert '"whole"' not in clients.received("p")
    service.state.wait_for_joined(1)
    service.reload()
    log.wait_for('"restart_required":[]')
    assert "GET" not in discovery.requests


def test_a_reload_retries_an_unreachable_discovery_and_an_invalid_reload_changes_nothing(
    service: ServiceHarness,
    clients: ServiceClients,
    discovery: DiscoveryStandIn,
    backends: BackendStandIns,
    log: ServiceLog,
) -> None:
    backends.start("a")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.clear_received("p")
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    service.reload_invalid("it is wrong")
    log.wait_for('"reload_rejected","name":"t","reason":"it is wrong"')
    assert "GET" not in discovery.requests
    assert '"reloaded"' not in log.text
    discovery.move()
    service.faults.limit_descriptors(0)
    service.reload()
    service.faults.restore_descriptors()
    service.advance_to(2 * SECOND)
    discovery.wait_for_request("after=7")
    clients.wait_for_heartbeat("p")
    service.state.wait_for_joined(1)
    assert '"task_failed"' not in log.text


def test_new_settings_apply_at_once_and_the_log_lists_those_that_require_a_restart(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    service.request_class("pay", "free", latency_objective=SECOND, priority_weight=1)
    backends.start("a")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    service.reload(proxies_expected=2, zones=["w"])
    clients.send("p", messages.usage(1, "pay"))
    clients.join("q", 2, "w")
    clients.wait_for_end("q")
    clients.join("q", 1, "w")
    service.state.wait_for_joined(1)
    service.request_class("see", "free", latency_objective=SECOND, priority_weight=1)
    service.reload()
    log.wait_for('"restart_required":["classes"]')
    clients.send("q", messages.usage(1, "see"))
    log.wait_for("the unknown 'see'")


def test_messages_of_a_joined_proxy_are_accepted_though_fewer_proxies_are_expected(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    service.request_class("pay", "free", latency_objective=SECOND, priority_weight=1)
    backends.start("a")
    clients.join("p", 9)
    clients.wait_for("p", "whole")
    service.reload(proxies_expected=2)
    clients.send("p", messages.usage(9, "pay"))
    clients.send("p", messages.applied(node=9, nonce=1, latency=100.0))
    clients.wait_for_heartbeat("p")
    assert '"message_dropped"' not in log.text
    service.state.wait_for_joined(9)


def test_a_watch_that_breaks_as_discovery_moves_is_opened_once_at_the_new_address(
    service: ServiceHarness, clients: ServiceClients, discovery: DiscoveryStandIn, backends: BackendStandIns
) -> None:
    backends.start("a")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.clear_received("p")
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    with service.suspended():
        discovery.break_watch()
        discovery.move()
        service.reload()
    service.advance_to(2 * SECOND)
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.send_line(messages.list_changes(9, messages.listed("a", "draining")))
    service.advance_to(4 * SECOND)
    assert "GET" not in discovery.requests
    clients.wait_for_heartbeat("p")
    service.state.wait_for_joined(1)
