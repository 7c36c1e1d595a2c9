"""Streams of proxies and collectors: joining, leaving, messages and their effects."""

from support import wire_messages as messages
from support.backend_stand_ins import BackendStandIns
from support.service_clients import ServiceClients
from support.service_harness import ServiceHarness
from support.service_outlets import ServiceLog

from granitespool.units import SECOND


def test_a_heartbeat_is_answered_on_any_connection_and_messages_may_arrive_split_or_many_at_once(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.connect("x")
    clients.wait_for_heartbeat("x")
    clients.send_bytewise("x", messages.HEARTBEAT)
    clients.wait_for("x", "pong")
    clients.join("p", 1)
    clients.send_repeatedly("p", 50, messages.usage(1, "pay"))
    clients.wait_for_heartbeat("p")
    service.state.wait_for_joined(1)
    log.wait_for('"message_dropped"')
    log.wait_for("the unknown 'pay'")


def test_a_joined_proxy_receives_the_complete_table_and_a_barrier(
    clients: ServiceClients, backends: BackendStandIns
) -> None:
    backends.start("a", "b")
    backends.start("c", zone="s")
    clients.join("p", 1)
    clients.wait_for("p", '"lines":[["a",1.0],["b",1.0],["c",1.0]]')
    clients.wait_for("p", '"whole":true')
    clients.wait_for("p", '"ticket":1')


def test_load_reports_of_failures_alone_eject_a_backend_at_the_proxies(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns
) -> None:
    backends.start("a", "b", "c")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.clear_received("p")
    clients.connect("c")
    clients.send("c", messages.collector("n"))
    clients.send("c", messages.load_report("a", total=9, errors=9, rtt=0.0, interval=1000.0))
    service.advance_to(SECOND)
    clients.send("c", messages.load_report("a", total=9, errors=9, rtt=0.0, interval=1000.0))
    clients.wait_for("p", '["a",0.0]')


def test_a_message_of_a_megabyte_is_read_and_its_buffers_are_returned(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.join("p", 1)
    clients.send_all_but_last_byte("p", 1_048_576)
    clients.send_bytes("p", b" ")
    log.wait_for("a message is not JSON")
    clients.wait_for_end("p")
    assert service.state.buffers_in_use <= 0
    service.state.wait_for_joined()


def test_a_new_stream_of_a_proxy_replaces_the_former_one_without_a_leave(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a", "b")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.join("q", 1)
    clients.wait_for("q", "whole")
    clients.wait_for_end("p")
    service.state.wait_for_joined(1)
    log.wait_for('"reason":"replaced"')
    clients.clear_received("q")
    service.advance_to(2 * SECOND)
    clients.wait_for_heartbeat("q")
    service.state.wait_for_joined(1)
    clients.close("q")
    service.state.wait_for_joined()


def test_a_proxy_whose_stream_ends_has_left(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns
) -> None:
    backends.start("a")
    clients.join("p", 1)
    clients.join("q", 2)
    service.state.wait_for_joined(1, 2)
    clients.close("p")
    service.state.wait_for_joined(2)


def test_a_proxy_that_neither_acknowledges_nor_reports_is_unreachable_until_it_sends_again(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.clear_received("p")
    service.advance_to(5 * SECOND)
    service.state.wait_for_joined(1)
    service.advance_to(7 * SECOND)
    service.state.wait_for_joined()
    log.wait_for('"unreachable"')
    clients.send("p", messages.applied(node=1, nonce=1, latency=6500.0))
    service.state.wait_for_joined(1)
    clients.wait_for("p", "whole")
    log.wait_for('"reachable"')


def test_a_proxy_that_acknowledges_stays_joined_without_reports(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.send("p", messages.applied(node=1, nonce=1, latency=100.0))
    service.advance_to(30 * SECOND)
    service.state.wait_for_joined(1)
    assert '"unreachable"' not in log.text


def test_updates_for_a_proxy_that_does_not_read_merge_until_it_reads(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns
) -> None:
    backends.start("a")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.join("q", 2)
    clients.clear_received("p")
    clients.stop_reading("p")
    for turn in range(300):
        for backend in range(200):
            service.actions.set_entry(0, f"backend-{backend}", float(turn + 1))
        service.turn()
    unsent = [len(connection.unsent) for connection in service.instance.streams.connections]
    assert 0 < max(unsent) < 100_000
    clients.wait_for_heartbeat("q")
    clients.resume_reading("p")
    clients.wait_for("p", '["backend-199",300.0]')
    service.state.wait_for_joined(1, 2)


def test_a_message_that_arrives_while_an_update_is_written_is_read_in_the_next_turn(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    service.faults.send_during_update_write("p", '{"type":"odd"}')
    clients.wait_for("p", '["a",2.5]')
    log.wait_for("a 'odd'")


def test_a_proxy_that_has_shut_down_sending_has_left_even_if_it_still_reads(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.shut_down_sending("p")
    clients.wait_for_end("p")
    service.state.wait_for_joined()
    log.wait_for('"reason":"closed by peer"')


def test_an_update_whose_write_failed_for_lack_of_a_system_buffer_is_written_later(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns
) -> None:
    backends.start("a", "b")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.clear_received("p")
    clients.stop_reading("p")
    clients.fail_writes("p", OSError)
    service.actions.set_entry(0, "a", 2.5)
    service.turn()
    clients.resume_reading("p")
    clients.wait_for("p", '["a",2.5]')
    clients.wait_for_heartbeat("p")
    service.state.wait_for_joined(1)
