"""An invalid message is dropped or ends the sender's connection; other connections are not affected."""

from support import wire_messages as messages
from support.backend_stand_ins import BackendStandIns
from support.service_clients import ServiceClients
from support.service_harness import ServiceHarness
from support.service_outlets import ServiceLog

from granitespool.units import SECOND


def test_a_length_over_the_limit_ends_only_that_connection(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.join("p", 1)
    clients.join("q", 2)
    clients.wait_for("q", "whole")
    clients.send_bytes("p", b"\x01\x00\x10\x00")
    clients.wait_for_end("p")
    log.wait_for("is over the limit")
    service.state.wait_for_joined(2)
    clients.wait_for_heartbeat("q")


def test_a_first_message_that_is_not_a_json_object_with_a_type_ends_the_connection(
    clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.connect("a")
    clients.send_bytes("a", b"\x04\x00\x00\x00abcd")
    clients.wait_for_end("a")
    log.wait_for("not JSON")
    clients.connect("b")
    clients.send_bytes("b", b"\x02\x00\x00\x00{}")
    clients.wait_for_end("b")
    log.wait_for("not an object with a type")
    clients.connect("c")
    clients.send_bytes("c", b"\x02\x00\x00\x00[]")
    clients.wait_for_end("c")
    clients.connect("d")
    clients.send_bytes("d", b"\x00\x00\x00\x00")
    clients.wait_for_end("d")
    clients.connect("e")
    clients.wait_for_heartbeat("e")


def test_a_report_before_the_join_message_ends_the_connection(
    clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.connect("a")
    clients.send("a", messages.applied(node=1, nonce=1, latency=1.0))
    clients.wait_for_end("a")
    log.wait_for("before its sender said who it is")


def test_a_join_with_an_unknown_zone_or_proxy_or_a_missing_or_invalid_field_ends_the_connection(
    service: ServiceHarness, clients: ServiceClients, log: ServiceLog
) -> None:
    service.configure(proxies_expected=4)
    clients.connect("a")
    clients.send("a", messages.joined(1, "x", w=1.0))
    clients.wait_for_end("a")
    log.wait_for("the unknown 'x'")
    clients.connect("b")
    clients.send("b", messages.joined(4, "n", w=1.0))
    clients.wait_for_end("b")
    log.wait_for("the unknown proxy 4")
    clients.connect("c")
    clients.send("c", '{"type":"joined","node":1,"locality":"n","w":1.0}')
    clients.wait_for_end("c")
    log.wait_for("lacks the field 'cold'")
    clients.connect("d")
    clients.send("d", messages.joined(-1, "n", w=1.0))
    clients.wait_for_end("d")
    clients.connect("e")
    clients.send("e", messages.joined(1, "n", w=-1.0))
    clients.wait_for_end("e")
    clients.connect("f")
    clients.send("f", messages.joined(True, "n", w=1.0))
    clients.wait_for_end("f")
    clients.connect("g")
    clients.send("g", messages.collector(7))
    clients.wait_for_end("g")
    service.state.wait_for_joined()


def test_an_invalid_message_of_a_joined_proxy_is_dropped_and_logged_and_the_stream_stays_open(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    service.request_class("pay", "free", latency_objective=SECOND, priority_weight=1)
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.send("p", messages.usage(1, "x"))
    log.wait_for("the unknown 'x'")
    clients.send("p", messages.usage(1, "pay", total=-1))
    log.wait_for("'total' of a 'usage' is out of range: -1")
    clients.send("p", messages.usage(1, "pay", total="1"))
    log.wait_for("is invalid: '1'")
    clients.send("p", '{"type":"usage","node":1,"route":"pay","total":1e300,"errors":0,"interval":1.0}')
    log.wait_for("is out of range: 1e+300")
    clients.send("p", messages.load_report("z", total=1))
    log.wait_for("the unknown 'z'")
    clients.send("p", messages.load_report("a", locality="x", total=1))
    clients.send("p", messages.applied(node=1, nonce=None, latency=1.0))
    log.wait_for("lacks the field 'nonce'")
    clients.send("p", '{"type":"odd"}')
    log.wait_for("a 'odd' is not expected here")
    clients.send("p", messages.joined(2, "n", w=1.0))
    log.wait_for("a 'joined' is not expected here")
    clients.wait_for_heartbeat("p")
    service.state.wait_for_joined(1)


def test_an_invalid_load_report_is_dropped_as_a_whole(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a", "b")
    service.request_class("pay", "free", latency_objective=SECOND, priority_weight=1)
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.connect("c")
    clients.send("c", messages.collector("n"))
    log.wait_for('"collector_joined"')
    for message in (
        messages.load_report("a", total=9, errors=38_654_705_664),
        messages.load_report("a", total=9, errors=10),
        messages.load_report("a", total=38_654_705_664),
        messages.load_report("a", total=9, rtt=38_654_705_664),
        messages.load_report("a", total=9, rtt=float("nan")),
        messages.load_report("a", total=9, rtt=float("inf")),
        '{"type":"heard","locality":"n","endpoint":"a","total":9,"errors":0,"rtt":1e400,"interval":1.0}',
        messages.load_report("a", total=9, rtt=True),
        messages.load_report("a", total=9, metrics=5),
        messages.load_report("a", total=9, metrics=[1]),
        messages.load_report("a", total=9, metrics="s"),
        '{"locality":"n","endpoint":"a","total":9,"errors":0,"rtt":1.0,"interval":1.0}',
        "[1]",
        '{"type":[1]}',
    ):
        clients.send("c", message)
    clients.send("p", messages.usage(1, "pay", total=38_654_705_664))
    clients.send("p", messages.usage(2, "pay"))
    clients.send("c", messages.applied(node=1, nonce=1, latency=1.0))
    log.wait_for_dropped_messages(17)
    assert service.state.attempts("a") == (0, [])
    clients.send("c", messages.load_report("a", total=9, errors=1, metrics={"util": "s"}))
    log.wait_for_dropped_messages(17)
    clients.wait_for_heartbeat("c")
    clients.wait_for_heartbeat("p")
    service.state.wait_for_joined(1)
    assert '"task_failed"' not in log.text


def test_an_invalid_acknowledgement_still_frees_the_channel(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    service.configure(entries_per_s=10, backlog_limit=20, message_header=3)
    backends.start("a", "b", "c")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.join("q", 2)
    assert "whole" not in clients.received("q")
    clients.send("p", messages.applied(node=1, nonce="nan", latency=1.0))
    clients.wait_for("q", "whole")
    log.wait_for("'nonce'")


def test_unexpected_first_bytes_are_rejected_at_once_and_a_long_message_after_the_join_is_read(
    clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    clients.connect("a")
    clients.send_bytes("a", b"GET / HTTP/1.1\r\n\r\n")
    clients.wait_for("a", '"type":"refused"')
    clients.wait_for_end("a")
    log.wait_for("over the limit")
    clients.connect("b")
    clients.send_bytes("b", b"\xff\xff\xff\xff")
    clients.wait_for_end("b")
    clients.connect("c")
    clients.send_bytes("c", b"\x01\x04\x00\x00")
    clients.wait_for_end("c")
    log.wait_for("a message of 1025 bytes is over the limit")
    clients.connect("d")
    clients.send("d", '{"type":"update","classes":["pay"],"whole":true}')
    clients.wait_for_end("d")
    log.wait_for("a 'update' came before")
    clients.connect("e")
    clients.send("e", messages.usage(1, "pay"))
    clients.wait_for_end("e")
    clients.connect("f")
    clients.send_bytes("f", b"\x10\x04")
    clients.close("f")
    clients.connect("g")
    clients.close("g")
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.send_all_but_last_byte("p", 100_000)
    clients.send_bytes("p", b" ")
    log.wait_for("not JSON")


def test_log_lines_of_invalid_messages_are_limited_per_second_and_the_rest_is_counted(
    service: ServiceHarness, clients: ServiceClients, backends: BackendStandIns, log: ServiceLog
) -> None:
    backends.start("a")
    service.request_class("pay", "free", latency_objective=SECOND, priority_weight=1)
    clients.join("p", 1)
    clients.wait_for("p", "whole")
    clients.send_repeatedly("p", 500, messages.usage(1, "unknown-class"))
    clients.wait_for_heartbeat("p")
    service.advance_to(SECOND)
    clients.send("p", '{"type":"odd"}')
    log.wait_for('"suppressed"')
    log.wait_for('{"message_dropped":480}')
    log.wait_for_dropped_messages(22)


def test_a_rejected_client_can_read_the_reason_even_if_it_continues_to_send(
    clients: ServiceClients, backends: BackendStandIns
) -> None:
    backends.start("a")
    clients.connect("x")
    clients.send_bytes("x", b"GET / HTTP/1.1\r\n\r\n")
    clients.wait_for("x", '"type":"refused"')
    clients.send_bytes("x", b"GET / HTTP/1.1\r\n\r\n")
    clients.wait_for_end("x")
    assert clients.closed_without_reset("x")
