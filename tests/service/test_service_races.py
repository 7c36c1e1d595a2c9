"""Events that arrive in the same turn, or while the process is stopped."""

from support import wire_messages as messages
from support.backend_stand_ins import BackendStandIns
from support.discovery_stand_in import DiscoveryStandIn
from support.service_clients import ServiceClients
from support.service_harness import ServiceHarness
from support.service_outlets import ServiceLog

from granitespool.units import MILLISECOND, SECOND


def test_data_that_arrived_while_the_process_was_stopped_is_read_before_timeouts_apply(
    service: ServiceHarness,
    clients: ServiceClients,
    discovery: DiscoveryStandIn,
    backends: BackendStandIns,
    log: ServiceLog,
) -> None:
    backends.start("a", "b")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.clear_received("p")
    clients.send("p", messages.applied(node=1, nonce=1, latency=100.0))
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.send_unread_line(messages.list_changes(9, messages.listed("a", "draining")))
    service.faults.stop_while_waiting(20 * SECOND)
    clients.wait_for("p", '["a",0.0]')
    assert '"watch_ended"' not in log.text
    assert '"unreachable"' not in log.text


def test_a_late_join_on_an_older_connection_does_not_end_the_later_one(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.connect("x")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.send("x", messages.joined(1, "n"))
    clients.wait_for("x", "joined on a later connection")
    clients.wait_for_end("x")
    clients.wait_for_heartbeat("p")
    service.state.wait_for_joined(1)
    assert '"connection_closed"' not in log.text


def test_of_joins_in_one_turn_the_connection_opened_last_wins(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns
) -> None:
    backends.start("a")
    clients.connect("x")
    clients.connect("p")
    with service.suspended():
        clients.send("p", messages.joined(1, "n"))
        clients.send("x", messages.joined(1, "n"))
        clients.shut_down_sending("x")
    clients.wait_for("p", "whole")
    clients.wait_for_heartbeat("p")
    service.state.wait_for_joined(1)


def test_a_join_an_end_and_the_next_join_in_one_turn_leave_the_last_stream_assigned(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns
) -> None:
    backends.start("a")
    clients.connect("p")
    clients.wait_for_heartbeat("p")
    with service.suspended():
        clients.send("p", messages.joined(1, "n"))
        clients.shut_down_sending("p")
        clients.join_before_accept("q", 1)
    clients.wait_for("q", "whole")
    clients.wait_for_heartbeat("q")
    service.state.wait_for_joined(1)


def test_acknowledgements_and_usage_of_a_replaced_stream_do_not_count(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    service.request_class("pay", "free", latency_objective=SECOND, priority_weight=1)
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    with service.suspended():
        clients.send("p", messages.applied(node=1, nonce=1, latency=1.0))
        clients.send("p", messages.usage(1, "pay", total=9))
        clients.join_before_accept("q", 1)
    clients.wait_for("q", "whole")
    clients.wait_for_heartbeat("q")
    clients.wait_for_end("p")
    service.state.wait_for_joined(1)
    assert '"message_dropped"' not in log.text


def test_a_client_that_shut_down_sending_receives_its_pending_answer(
    clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.connect("x")
    clients.stop_reading("x")
    clients.send("x", messages.HEARTBEAT)
    clients.shut_down_sending("x")
    clients.resume_reading("x")
    clients.wait_for("x", "pong")
    clients.wait_for_end("x")
    log.wait_for('"serving"')
    assert '"task_failed"' not in log.text


def test_a_client_that_shut_down_sending_and_reads_nothing_is_closed_soon(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.connect("x")
    clients.stop_reading("x")
    clients.send("x", messages.HEARTBEAT)
    clients.shut_down_sending("x")
    service.advance_to(200 * MILLISECOND)
    assert '"task_failed"' not in log.text
    service.advance_to(500 * MILLISECOND)
    service.state.wait_for_no_connections()


def test_a_join_that_arrived_while_the_process_was_stopped_is_read_before_its_deadline(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.connect("x")
    clients.connect("y")
    clients.send("y", messages.collector("n"))
    log.wait_for('"collector_joined"')
    with service.suspended():
        clients.send("y", messages.HEARTBEAT)
        service.faults.stop_before_reading(
            2 * SECOND, lambda: clients.send_at_once("x", messages.joined(1, "n"))
        )
    clients.wait_for("x", "whole")
    service.state.wait_for_joined(1)
    assert '"rejected"' not in log.text


def test_a_load_report_sent_before_a_reset_counts_though_an_answer_is_pending(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.connect("c")
    clients.send("c", messages.collector("n"))
    log.wait_for('"collector_joined"')
    clients.stop_reading("c")
    clients.send("c", messages.HEARTBEAT)
    clients.fail_writes("c", ConnectionResetError, sent_before=messages.load_report("a", total=9))
    service.state.wait_for_attempts("a", 9)
    clients.wait_for_end("c")
    assert '"task_failed"' not in log.text


def test_a_join_deadline_that_expires_in_the_turn_of_a_reload_applies(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.connect("x")
    service.advance_to(1400 * MILLISECOND)
    with service.suspended():
        service.advance_to(1600 * MILLISECOND)
        service.reload(zones=["w"])
    clients.wait_for_end("x")
    log.wait_for("it has not joined in time")
    log.wait_for('"reloaded"')
    clients.connect("c")
    clients.send("c", messages.collector("w"))
    log.wait_for('"collector_joined"')


def test_a_proxy_that_joins_repeatedly_during_reloads_keeps_its_last_stream(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    with service.suspended():
        clients.join_before_accept("q", 1)
        clients.join_before_accept("r", 1)
        clients.join_before_accept("s", 1)
        service.reload()
        service.reload()
        clients.join_before_accept("t", 1)
    clients.wait_for("t", "whole")
    clients.wait_for_heartbeat("t")
    service.state.wait_for_joined(1)
    clients.wait_for_end("q")
    clients.wait_for_end("r")
    clients.wait_for_end("s")
    clients.wait_for_end("p")
    clients.connect("x")
    clients.close("x")
    clients.connect("x")
    clients.close("x")
    clients.connect("x")
    clients.wait_for_heartbeat("x")
    assert '"task_failed"' not in log.text


def test_a_message_of_a_silent_proxy_is_read_before_it_counts_as_unreachable(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.connect("y")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.send("y", messages.collector("n"))
    log.wait_for('"collector_joined"')
    with service.suspended():
        clients.send("y", messages.HEARTBEAT)
        service.faults.stop_before_reading(
            20 * SECOND, lambda: clients.send_at_once("p", messages.applied(node=1, nonce=1, latency=100.0))
        )
    clients.wait_for_heartbeat("p")
    service.state.wait_for_joined(1)
    assert '"unreachable"' not in log.text
