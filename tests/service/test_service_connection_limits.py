"""Eviction and rejection of connections under limits on sockets and buffers, and the time limit to join."""

from support import wire_messages as messages
from support.backend_stand_ins import BackendStandIns
from support.service_clients import ServiceClients
from support.service_harness import ServiceHarness
from support.service_outlets import ServiceLog

from granitespool.units import MILLISECOND, SECOND


def test_a_client_that_has_not_joined_in_time_is_rejected_whatever_it_sends(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.connect("c")
    clients.send("c", messages.collector("n"))
    log.wait_for('"collector_joined"')
    clients.connect("x")
    clients.connect("y")
    clients.wait_for_heartbeat("y")
    clients.connect("h")
    clients.send_bytes("h", b"d\x00\x00\x00\x01")
    clients.connect_many("w", 3)
    service.advance_to(1400 * MILLISECOND)
    clients.wait_for_heartbeat("y")
    clients.send_bytes("h", b"\x02")
    service.advance_to(1600 * MILLISECOND)
    clients.wait_for_end("x")
    clients.wait_for_end("y")
    clients.wait_for("y", "refused")
    clients.wait_for_end("h")
    clients.wait_for_end("w2")
    log.wait_for("it has not joined in time")
    clients.connect("z")
    clients.wait_for_heartbeat("z")
    clients.wait_for_heartbeat("c")
    clients.wait_for_heartbeat("p")
    service.state.wait_for_joined(1)


def test_the_oldest_unjoined_clients_are_evicted_under_small_limits_and_no_joined_stream(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    service.limits.update(sockets=64, memory_mb=32)
    backends.start("a")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.connect("c")
    clients.send("c", messages.collector("n"))
    log.wait_for('"collector_joined"')
    clients.connect_many("x", 38)
    service.advance_to(100 * MILLISECOND)
    clients.connect_many("x", 38)
    clients.connect("q")
    clients.send("q", messages.joined(2, "n"))
    assert '"rejected"' not in log.text
    log.wait_for('"evicted"')
    service.advance_to(200 * MILLISECOND)
    clients.wait_for("q", "whole")
    clients.wait_for_heartbeat("p")
    clients.wait_for_heartbeat("c")
    service.state.wait_for_joined(1, 2)
    assert '"role":"collector","reason":"closed by coordinator"' not in log.text


def test_unjoined_clients_have_a_short_time_to_join_before_they_are_evicted(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    service.limits.update(sockets=64, memory_mb=32)
    backends.start("a")
    clients.connect_many("x", 40)
    clients.join_before_accept("p", 1)
    assert '"evicted"' not in log.text
    assert '"joined"' not in log.text
    service.advance_to(100 * MILLISECOND)
    log.wait_for('"evicted"')
    clients.wait_for("p", "whole")
    service.state.wait_for_joined(1)
    clients.wait_for_heartbeat("x39")


def test_all_proxies_may_join_at_once_under_the_smallest_limits(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    service.limits.update(sockets=256, memory_mb=32)
    backends.start("a", "b", "c")
    clients.join_many_at_once("t", 200)
    log.wait_for('"proxy":199')
    clients.wait_for("t0", "whole")
    clients.wait_for("t199", "whole")
    assert '"evicted"' not in log.text
    assert '"task_failed"' not in log.text


def test_the_oldest_unjoined_client_is_evicted_when_descriptors_run_out(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.connect("x")
    clients.connect("y")
    clients.wait_for_heartbeat("x")
    service.advance_to(100 * MILLISECOND)
    service.faults.limit_descriptors(1)
    clients.connect("z")
    clients.wait_for_end("x")
    log.wait_for('"evicted"')
    clients.wait_for_heartbeat("z")
    clients.wait_for_heartbeat("y")
    clients.wait_for_heartbeat("p")
    service.state.wait_for_joined(1)


def test_a_client_that_sends_pings_and_does_not_read_the_answers_is_disconnected(
    clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.join("q", 2)
    clients.connect("x")
    clients.stop_reading("x")
    clients.send_repeatedly("x", 4000, messages.HEARTBEAT)
    log.wait_for("it sends pings and does not read the answers")
    clients.wait_for_end("x")
    clients.wait_for_heartbeat("q")


def test_a_proxy_that_needs_a_buffer_when_none_is_free_is_disconnected_and_the_others_stay(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    service.limits.update(memory_mb=9)
    backends.start("a")
    clients.join("p", 1)
    clients.join("q", 2)
    clients.join("r", 3)
    clients.wait_for("r", "whole")
    clients.send_all_but_last_byte("p", 1_048_576)
    clients.send_all_but_last_byte("q", 1_048_576)
    clients.send_all_but_last_byte("r", 1_048_576)
    log.wait_for("no buffer is free")
    assert service.state.buffers_in_use <= 130
    service.state.wait_for_joined(1, 2)
    clients.send_bytes("p", b" ")
    clients.wait_for_end("p")
    clients.connect("s")
    clients.wait_for_heartbeat("s")
    service.state.wait_for_joined(2)
    assert service.state.buffers_in_use <= 65


def test_a_log_that_is_not_read_drops_lines_and_does_not_delay_the_service(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    service.request_class("pay", "free", latency_objective=SECOND, priority_weight=1)
    log.is_read = False
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    for _ in range(3000):
        service.actions.log("a-word-" * 20)
        service.turn()
    log.is_read = True
    log.wait_for('"log_dropped"')
    clients.wait_for_heartbeat("p")
    assert '"task_failed"' not in log.text


def test_many_unjoined_clients_do_not_evict_a_collector_and_a_joining_proxy_does(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    service.limits.update(sockets=25)
    backends.start("a")
    for proxy in range(7):
        clients.join(f"p{proxy}", proxy)
    clients.connect("c")
    clients.send("c", messages.collector("n"))
    log.wait_for('"collector_joined"')
    clients.connect_many("x", 5)
    service.advance_to(100 * MILLISECOND)
    clients.connect_many("y", 5)
    service.advance_to(200 * MILLISECOND)
    clients.connect_many("z", 5)
    service.advance_to(300 * MILLISECOND)
    clients.wait_for_heartbeat("c")
    clients.wait_for_heartbeat("p0")
    service.state.wait_for_joined(0, 1, 2, 3, 4, 5, 6)
    assert '"role":"collector"' not in log.text
    service.advance_to(400 * MILLISECOND)
    clients.join_before_accept("q", 7)
    clients.wait_for("q", "whole")
    service.state.wait_for_joined(0, 1, 2, 3, 4, 5, 6, 7)
    log.wait_for('"role":"collector"')
    clients.wait_for_end("c")


def test_a_proxy_that_joins_when_proxies_use_all_connections_is_rejected_at_once(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns
) -> None:
    service.limits.update(sockets=25)
    backends.start("a")
    clients.join_many_at_once("t", 8)
    clients.wait_for("t7", "whole")
    clients.connect("q")
    clients.send("q", messages.joined(9, "n"))
    clients.wait_for("q", "the connection limit is reached and no collector can be evicted")
    clients.wait_for_end("q")
    clients.wait_for_heartbeat("t0")
    service.state.wait_for_joined(0, 1, 2, 3, 4, 5, 6, 7)
    service.advance_to(500 * MILLISECOND)
    clients.join("r", 3)
    clients.wait_for("r", "whole")
    clients.wait_for_end("t3")
    service.state.wait_for_joined(0, 1, 2, 3, 4, 5, 6, 7)


def test_a_client_without_a_buffer_is_not_evicted_when_buffers_run_out(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    service.limits.update(memory_mb=9)
    backends.start("a")
    clients.join("p", 1)
    clients.join("r", 2)
    clients.wait_for("r", "whole")
    clients.connect("c")
    clients.send("c", messages.collector("n"))
    log.wait_for('"collector_joined"')
    clients.connect("s")
    clients.wait_for_heartbeat("s")
    service.advance_to(100 * MILLISECOND)
    clients.send_all_but_last_byte("p", 1_048_576)
    clients.send_all_but_last_byte("c", 1_048_576)
    clients.send_all_but_last_byte("r", 1_048_576)
    log.wait_for('"evicted","name":"t"')
    log.wait_for('"role":"collector"')
    clients.wait_for_heartbeat("s")
    service.state.wait_for_joined(1, 2)
    assert "no buffer" not in log.text


def test_an_unjoined_client_that_needs_a_buffer_when_none_is_free_is_rejected(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    service.limits.update(memory_mb=9)
    backends.start("a")
    clients.join("p", 1)
    clients.join("r", 2)
    clients.wait_for("r", "whole")
    clients.connect("x")
    clients.wait_for_heartbeat("x")
    service.advance_to(100 * MILLISECOND)
    clients.send_all_but_last_byte("p", 1_048_576)
    clients.send_all_but_last_byte("r", 1_048_576)
    service.faults.limit_buffers(1)
    clients.send_more_than_a_buffer("x")
    clients.wait_for("x", "no buffer is free")
    clients.wait_for_end("x")
    assert '"task_failed"' not in log.text
    service.state.wait_for_joined(1, 2)
