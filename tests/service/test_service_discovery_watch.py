"""The watch of the endpoint list: the requests, the effects of received lines, and recovery from errors."""

from support import wire_messages as messages
from support.backend_stand_ins import BackendStandIns
from support.discovery_stand_in import DiscoveryStandIn
from support.service_clients import ServiceClients
from support.service_harness import ServiceHarness
from support.service_outlets import ServiceLog

from granitespool.units import MILLISECOND, SECOND


def test_the_watch_continues_from_the_configured_list_and_its_changes_reach_the_proxies(
    service: ServiceHarness, clients: ServiceClients, discovery: DiscoveryStandIn, backends: BackendStandIns
) -> None:
    backends.start("a", "b")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.clear_received("p")
    discovery.wait_for_request("GET /discovery/hosts?watch=1&after=7")
    discovery.accept_watch()
    discovery.send_line(
        messages.list_changes(
            9,
            {
                "name": "a",
                "address": "@a",
                "zone": "n",
                "type": "m",
                "group": 0,
                "status": "draining",
                "weight": 1.0,
                "since_ms": 0,
            },
        )
    )
    clients.wait_for("p", '["a",0.0]')
    discovery.break_watch()
    service.advance_to(2 * SECOND)
    discovery.wait_for_request("after=9")


def test_backends_of_the_first_list_that_is_not_empty_start_at_full_weight(
    service: ServiceHarness, clients: ServiceClients, discovery: DiscoveryStandIn, backends: BackendStandIns
) -> None:
    service.configure(health_checks_allowed=True)
    clients.join("p", 1)
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.send_line(messages.complete_list(8))
    backends.start("a")
    discovery.send_line(messages.complete_list(9, messages.listed("a")))
    clients.wait_for("p", '["a",1.0]')


def test_a_backend_that_a_complete_list_does_not_contain_is_removed(
    clients: ServiceClients, discovery: DiscoveryStandIn, backends: BackendStandIns
) -> None:
    backends.start("a", "b")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.clear_received("p")
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.send_line(messages.complete_list(12, messages.listed("a")))
    clients.wait_for("p", '["b",0.0]')


def test_an_invalid_entry_is_skipped_and_does_not_remove_its_backend(
    clients: ServiceClients, discovery: DiscoveryStandIn, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a", "b")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.clear_received("p")
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.send_line(messages.complete_list(12, messages.listed("a"), {"name": "b", "status": 7}))
    log.wait_for('"endpoint_skipped"')
    assert '["b",0.0]' not in clients.received("p")
    discovery.send_line(
        messages.list_changes(13, {"name": "b", "address": "nowhere", "status": "draining", "since_ms": 0})
    )
    log.wait_for("'nowhere' is not an address")
    clients.wait_for("p", '["b",0.0]')


def test_empty_lines_keep_the_watch_open_and_silence_ends_it(
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
    service.advance_to(2 * SECOND)
    discovery.send_line()
    service.advance_to(4 * SECOND)
    assert "GET" not in discovery.requests
    service.advance_to(5 * SECOND)
    discovery.wait_for_request("after=7")
    log.wait_for('"watch_ended"')
    assert '["a",0.0]' not in clients.received("p")


def test_a_rejected_malformed_or_broken_watch_is_reopened_with_backoff(
    service: ServiceHarness, discovery: DiscoveryStandIn, log: ServiceLog
) -> None:
    discovery.wait_for_request("after=7")
    discovery.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    log.wait_for("was answered with status 503")
    service.advance_to(SECOND)
    discovery.wait_for_request("after=7")
    discovery.send("nonsense\r\n\r\n")
    log.wait_for('"watch_ended"')
    service.advance_to(2 * SECOND)
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.send_line('{"index":12,')
    log.wait_for("not JSON")
    service.advance_to(4 * SECOND)
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.send('5\r\n{"ind')
    discovery.break_watch()
    service.advance_to(6 * SECOND)
    discovery.wait_for_request("after=7")


def test_a_watch_whose_line_is_never_complete_is_reopened(
    clients: ServiceClients, discovery: DiscoveryStandIn, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.clear_received("p")
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.drip(8 * SECOND, '{"index":9,')
    assert '"watch_ended"' not in log.text
    discovery.drip(2 * SECOND, '{"index":9,')
    log.wait_for("was not completed before the deadline")
    discovery.wait_for_request("after=7")
    assert '["a",0.0]' not in clients.received("p")


def test_the_log_has_the_reason_for_the_end_of_a_watch_the_list_version_and_the_silence(
    service: ServiceHarness, discovery: DiscoveryStandIn, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.send_line(messages.list_changes(9))
    service.advance_to(SECOND)
    discovery.send("0\r\n\r\n")
    log.wait_for('"reason":"discovery closed the watch","index":9,"silence_ms":99')
    service.advance_to(2 * SECOND)
    discovery.wait_for_request("after=9")


def test_complete_lines_before_a_watch_broke_are_used_and_a_partial_line_is_requested_again(
    service: ServiceHarness, clients: ServiceClients, discovery: DiscoveryStandIn, backends: BackendStandIns
) -> None:
    backends.start("a", "b")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.clear_received("p")
    discovery.wait_for_request("after=7")
    discovery.break_watch()
    service.advance_to(SECOND)
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.send('40\r\n{"index":9,"snapshot":fal')
    discovery.break_watch()
    service.advance_to(2 * SECOND)
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    with service.suspended():
        discovery.send_unread_line(messages.list_changes(9, messages.listed("a", "draining")))
        discovery.break_watch()
    clients.wait_for("p", '["a",0.0]')
    service.advance_to(4 * SECOND)
    discovery.wait_for_request("after=9")


def test_an_invalid_entry_is_requested_again_from_the_version_before_it_with_backoff(
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
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.send_line(messages.list_changes(8, {"name": "b", "status": 7}))
    log.wait_for('"endpoint_skipped"')
    discovery.send_line(messages.list_changes(9, messages.listed("a", "draining")))
    clients.wait_for("p", '["a",0.0]')
    service.advance_to(1100 * MILLISECOND)
    discovery.send_line()
    log.wait_for("invalid entries are requested again")
    service.advance_to(2 * SECOND)
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.send_line(messages.list_changes(9, {"name": "b", "status": 7}))
    service.advance_to(3500 * MILLISECOND)
    discovery.send_line()
    assert "GET" not in discovery.requests
    service.advance_to(4200 * MILLISECOND)
    discovery.send_line()
    service.advance_to(5 * SECOND)
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.send_line(messages.list_changes(9, messages.listed("b", "gone")))
    clients.wait_for("p", '["b",0.0]')
    discovery.break_watch()
    service.advance_to(6 * SECOND)
    discovery.wait_for_request("after=9")


def test_changes_that_are_requested_again_may_start_with_an_older_version_than_the_current_one(
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
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.send_line(messages.list_changes(8, {"name": "b", "status": 7}))
    discovery.send_line(messages.list_changes(9, messages.listed("a", "draining")))
    clients.wait_for("p", '["a",0.0]')
    discovery.break_watch()
    service.advance_to(SECOND)
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.send_line(messages.list_changes(8, messages.listed("b", "draining")))
    clients.wait_for("p", '["b",0.0]')
    assert '"stale_endpoint_list"' not in log.text


def test_an_entry_whose_zone_type_or_group_has_the_wrong_type_is_skipped(
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
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.send_line(
        messages.list_changes(
            8,
            {"name": "x", "zone": ["n"], "status": "ready"},
            {"name": "y", "zone": "n", "type": {}, "status": "ready"},
            {"name": "z", "zone": "n", "group": [1], "status": "ready"},
            messages.listed("b", "draining"),
        )
    )
    clients.wait_for("p", '["b",0.0]')
    service.advance_to(2 * SECOND)
    assert '"internal_error"' not in log.text
    assert '"x"' not in clients.received("p")
    assert '"y"' not in clients.received("p")


def test_changes_older_than_the_current_version_are_ignored_but_an_older_complete_list_is_used(
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
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    discovery.send_line(messages.list_changes(9, messages.listed("a", "draining")))
    clients.wait_for("p", '["a",0.0]')
    clients.clear_received("p")
    discovery.send_line(messages.list_changes(8, messages.listed("a")))
    log.wait_for('"stale_endpoint_list","name":"t","index":8,"held_index":9')
    assert '"a"' not in clients.received("p")
    discovery.break_watch()
    service.advance_to(2 * SECOND)
    discovery.wait_for_request("after=9")
    discovery.accept_watch()
    discovery.send_line(messages.complete_list(3, messages.listed("a")))
    clients.wait_for("p", '["b",0.0]')
    discovery.break_watch()
    service.advance_to(4 * SECOND)
    discovery.wait_for_request("after=3")


def test_a_backend_returns_at_another_address_after_repeated_and_reordered_phases(
    service: ServiceHarness, clients: ServiceClients, discovery: DiscoveryStandIn, backends: BackendStandIns
) -> None:
    backends.start("a", "b")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.clear_received("p")
    discovery.wait_for_request("after=7")
    discovery.accept_watch()
    clients.stop_reading("p")
    with service.suspended():
        discovery.send_unread_line(messages.list_changes(8, messages.listed("a", "draining")))
        discovery.send_unread_line(messages.list_changes(9, messages.listed("a", "draining")))
    discovery.send_line(messages.list_changes(10, messages.listed("a", "gone")))
    discovery.send_line(messages.list_changes(11, messages.listed("a", "draining")))
    clients.resume_reading("p")
    clients.wait_for("p", '["a",0.0]')
    clients.clear_received("p")
    clients.send("p", messages.applied(node=1, nonce=2, latency=1.0))
    service.advance_to(SECOND)
    discovery.send_line(
        messages.list_changes(12, messages.listed("a", address="@b", since_ms=1_000_000_000_000))
    )
    service.advance_to(2 * SECOND)
    clients.wait_for("p", '["a",0.25]')
    assert service.state.address("a") == service.state.address("b")
