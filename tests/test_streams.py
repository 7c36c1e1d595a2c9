"""Streams and collectors on a whole service: joining, messages, orders, and how connections end."""

from granitespool.units import SECOND


def test_ping_is_answered_on_any_connection_in_pieces_or_many_at_once(harness):
    """Ping is answered on any connection, a message in pieces is one, many in one read are many."""
    harness.list_backends(a="n")
    harness.connect("x")
    harness.expect_pong("x")
    harness.say_bytewise("x", {"type": "ping"})
    harness.expect_received("x", "pong")
    harness.join_proxy("p", 1, "n")
    harness.say_many(
        50, "p", {"type": "usage", "node": 1, "route": "pay", "total": 1, "errors": 0, "interval": 1000.0}
    )
    harness.expect_pong("p")
    harness.expect_joined(1)
    harness.expect_logged('"message_dropped"')
    harness.expect_logged("the unknown 'pay'")


def test_joined_proxy_gets_complete_table_and_mark(harness):
    """A joined proxy gets the whole table at once, and a mark."""
    harness.list_backends(a="n", b="n", c="s")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", '"lines":[["a",1.0],["b",1.0],["c",1.0]]')
    harness.expect_received("p", '"whole":true')
    harness.expect_received("p", '"ticket":1')


def test_failure_reports_through_a_collector_eject_a_backend(harness):
    """Reports of failures alone, through a collector, cut a server at the proxies."""
    harness.list_backends(a="n", b="n", c="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.connect("c")
    harness.say("c", {"type": "collector", "locality": "n"})
    harness.say(
        "c",
        {
            "type": "heard",
            "locality": "n",
            "endpoint": "a",
            "total": 9,
            "errors": 9,
            "rtt": 0.0,
            "interval": 1000.0,
        },
    )
    harness.advance_to(1)
    harness.say(
        "c",
        {
            "type": "heard",
            "locality": "n",
            "endpoint": "a",
            "total": 9,
            "errors": 9,
            "rtt": 0.0,
            "interval": 1000.0,
        },
    )
    harness.expect_received("p", '["a",0.0]')


def test_message_of_a_megabyte_is_taken_and_its_buffers_given_back(harness):
    """A message of a megabyte is taken, and its buffers are given back."""
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.send_incomplete("p", 1048576)
    harness.send_hex("p", "20")
    harness.expect_logged("a message is not JSON")
    harness.expect_closed("p")
    harness.expect_buffers_at_most(0)
    harness.expect_joined()


def test_length_over_the_limit_ends_that_connection_alone(harness):
    """A length over the limit ends the connection, not the others."""
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.join_proxy("q", 2, "n")
    harness.expect_received("q", "whole")
    harness.send_hex("p", "01001000")
    harness.expect_closed("p")
    harness.expect_logged("is over the limit")
    harness.expect_joined(2)
    harness.expect_pong("q")


def test_unreadable_message_ends_the_connection(harness):
    """Bytes that are not JSON, a message without a type, and one that is no object end the connection."""
    harness.list_backends(a="n")
    harness.connect("a")
    harness.send_hex("a", "0400000061626364")
    harness.expect_closed("a")
    harness.expect_logged("not JSON")
    harness.connect("b")
    harness.send_hex("b", "020000007b7d")
    harness.expect_closed("b")
    harness.expect_logged("not an object with a type")
    harness.connect("c")
    harness.send_hex("c", "020000005b5d")
    harness.expect_closed("c")
    harness.connect("d")
    harness.send_hex("d", "00000000")
    harness.expect_closed("d")
    harness.connect("e")
    harness.expect_pong("e")


def test_message_before_joining_ends_the_connection(harness):
    """A message before its sender said who it is ends the connection."""
    harness.list_backends(a="n")
    harness.connect("a")
    harness.say("a", {"type": "applied", "node": 1, "nonce": 1, "latency": 1.0})
    harness.expect_closed("a")
    harness.expect_logged("before its sender said who it is")


def test_joining_with_unknown_names_or_missing_fields_ends_the_connection(harness):
    """A joining that names an unknown zone or proxy, or lacks what it needs, ends the connection."""
    harness.set_settings(proxies_expected=4)
    harness.connect("a")
    harness.say("a", {"type": "joined", "node": 1, "locality": "x", "w": 1.0, "cold": True})
    harness.expect_closed("a")
    harness.expect_logged("the unknown 'x'")
    harness.connect("b")
    harness.say("b", {"type": "joined", "node": 4, "locality": "n", "w": 1.0, "cold": True})
    harness.expect_closed("b")
    harness.expect_logged("the unknown proxy 4")
    harness.connect("c")
    harness.say("c", {"type": "joined", "node": 1, "locality": "n", "w": 1.0})
    harness.expect_closed("c")
    harness.expect_logged("lacks the field 'cold'")
    harness.connect("d")
    harness.say("d", {"type": "joined", "node": -1, "locality": "n", "w": 1.0, "cold": True})
    harness.expect_closed("d")
    harness.connect("e")
    harness.say("e", {"type": "joined", "node": 1, "locality": "n", "w": -1.0, "cold": True})
    harness.expect_closed("e")
    harness.connect("f")
    harness.say("f", {"type": "joined", "node": True, "locality": "n", "w": 1.0, "cold": True})
    harness.expect_closed("f")
    harness.connect("g")
    harness.say("g", {"type": "collector", "locality": 7})
    harness.expect_closed("g")
    harness.expect_joined()


def test_wrong_message_is_dropped_and_the_stream_goes_on(harness):
    """A message that is wrong is dropped with one line, and the stream goes on."""
    harness.list_backends(a="n")
    harness.add_class("pay", "free", 1 * SECOND, 1)
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.say("p", {"type": "usage", "node": 1, "route": "x", "total": 1, "errors": 0, "interval": 1000.0})
    harness.expect_logged("the unknown 'x'")
    harness.say(
        "p", {"type": "usage", "node": 1, "route": "pay", "total": -1, "errors": 0, "interval": 1000.0}
    )
    harness.expect_logged("'total' of a 'usage' is -1")
    harness.say(
        "p", {"type": "usage", "node": 1, "route": "pay", "total": "1", "errors": 0, "interval": 1000.0}
    )
    harness.expect_logged("holds '1'")
    harness.say("p", '{"type":"usage","node":1,"route":"pay","total":1e300,"errors":0,"interval":1.0}')
    harness.expect_logged("is 1e+300")
    harness.say(
        "p",
        {
            "type": "heard",
            "locality": "n",
            "endpoint": "z",
            "total": 1,
            "errors": 0,
            "rtt": 1.0,
            "interval": 1.0,
        },
    )
    harness.expect_logged("the unknown 'z'")
    harness.say(
        "p",
        {
            "type": "heard",
            "locality": "x",
            "endpoint": "a",
            "total": 1,
            "errors": 0,
            "rtt": 1.0,
            "interval": 1.0,
        },
    )
    harness.say("p", {"type": "applied", "node": 1, "nonce": None, "latency": 1.0})
    harness.expect_logged("lacks the field 'nonce'")
    harness.say("p", {"type": "odd"})
    harness.expect_logged("a 'odd' has no place here")
    harness.say("p", {"type": "joined", "node": 2, "locality": "n", "w": 1.0, "cold": True})
    harness.expect_logged("a 'joined' has no place here")
    harness.expect_pong("p")
    harness.expect_joined(1)


def test_corrupt_report_is_lost_alone(harness):
    """A spoilt report is lost alone, whatever is wrong with it, and nothing of it is counted."""
    harness.list_backends(a="n", b="n")
    harness.add_class("pay", "free", 1 * SECOND, 1)
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.connect("c")
    harness.say("c", {"type": "collector", "locality": "n"})
    harness.expect_logged('"collector_joined"')
    harness.say(
        "c",
        {
            "type": "heard",
            "locality": "n",
            "endpoint": "a",
            "total": 9,
            "errors": 38654705664,
            "rtt": 1.0,
            "interval": 1.0,
        },
    )
    harness.say(
        "c",
        {
            "type": "heard",
            "locality": "n",
            "endpoint": "a",
            "total": 9,
            "errors": 10,
            "rtt": 1.0,
            "interval": 1.0,
        },
    )
    harness.say(
        "c",
        {
            "type": "heard",
            "locality": "n",
            "endpoint": "a",
            "total": 38654705664,
            "errors": 0,
            "rtt": 1.0,
            "interval": 1.0,
        },
    )
    harness.say(
        "c",
        {
            "type": "heard",
            "locality": "n",
            "endpoint": "a",
            "total": 9,
            "errors": 0,
            "rtt": 38654705664,
            "interval": 1.0,
        },
    )
    harness.say(
        "c", '{"type":"heard","locality":"n","endpoint":"a","total":9,"errors":0,"rtt":NaN,"interval":1.0}'
    )
    harness.say(
        "c",
        '{"type":"heard","locality":"n","endpoint":"a","total":9,"errors":0,"rtt":Infinity,"interval":1.0}',
    )
    harness.say(
        "c", '{"type":"heard","locality":"n","endpoint":"a","total":9,"errors":0,"rtt":1e400,"interval":1.0}'
    )
    harness.say(
        "c",
        {
            "type": "heard",
            "locality": "n",
            "endpoint": "a",
            "total": 9,
            "errors": 0,
            "rtt": True,
            "interval": 1.0,
        },
    )
    harness.say(
        "c",
        {
            "type": "heard",
            "locality": "n",
            "endpoint": "a",
            "total": 9,
            "errors": 0,
            "rtt": 1.0,
            "interval": 1.0,
            "metrics": 5,
        },
    )
    harness.say(
        "c",
        {
            "type": "heard",
            "locality": "n",
            "endpoint": "a",
            "total": 9,
            "errors": 0,
            "rtt": 1.0,
            "interval": 1.0,
            "metrics": [1],
        },
    )
    harness.say(
        "c",
        {
            "type": "heard",
            "locality": "n",
            "endpoint": "a",
            "total": 9,
            "errors": 0,
            "rtt": 1.0,
            "interval": 1.0,
            "metrics": "s",
        },
    )
    harness.say("c", {"locality": "n", "endpoint": "a", "total": 9, "errors": 0, "rtt": 1.0, "interval": 1.0})
    harness.say("c", "[1]")
    harness.say("c", {"type": [1]})
    harness.say(
        "p",
        {"type": "usage", "node": 1, "route": "pay", "total": 38654705664, "errors": 0, "interval": 1000.0},
    )
    harness.say(
        "p", {"type": "usage", "node": 2, "route": "pay", "total": 1, "errors": 0, "interval": 1000.0}
    )
    harness.say("c", {"type": "applied", "node": 1, "nonce": 1, "latency": 1.0})
    harness.expect_dropped(17)
    harness.expect_unreported("a")
    harness.say(
        "c",
        {
            "type": "heard",
            "locality": "n",
            "endpoint": "a",
            "total": 9,
            "errors": 1,
            "rtt": 1.0,
            "interval": 1.0,
            "metrics": {"util": "s"},
        },
    )
    harness.expect_dropped(17)
    harness.expect_pong("c")
    harness.expect_pong("p")
    harness.expect_joined(1)
    harness.expect_not_logged('"task_failed"')


def test_corrupt_acknowledgement_does_not_keep_the_in_flight_account_full(harness):
    """A spoilt answer to a mark does not keep the account of that proxy's orders full."""
    harness.set_settings(entries_per_s=10, backlog_limit=20, message_header=3)
    harness.list_backends(a="n", b="n", c="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.join_proxy("q", 2, "n")
    harness.expect_not_received("q", "whole")
    harness.say("p", {"type": "applied", "node": 1, "nonce": "nan", "latency": 1.0})
    harness.expect_received("q", "whole")
    harness.expect_logged("'nonce'")


def test_later_stream_of_a_proxy_replaces_the_earlier_one(harness):
    """A new stream of a proxy before the old one's end: no leaving, and the orders go to the new one."""
    harness.list_backends(a="n", b="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.join_proxy("q", 1, "n")
    harness.expect_received("q", "whole")
    harness.expect_closed("p")
    harness.expect_joined(1)
    harness.expect_logged('"reason":"replaced"')
    harness.forget_received("q")
    harness.advance_to(2)
    harness.expect_pong("q")
    harness.expect_joined(1)
    harness.hang_up("q")
    harness.expect_joined()


def test_end_of_a_stream_is_the_proxys_leaving(harness):
    """A stream that ends is a leaving."""
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.join_proxy("q", 2, "n")
    harness.expect_joined(1, 2)
    harness.hang_up("p")
    harness.expect_joined(2)


def test_silent_proxy_counts_as_left_until_it_speaks(harness):
    """A proxy that answers no mark and reports nothing counts as left until it speaks; its stream stays."""
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.advance_to(5)
    harness.expect_joined(1)
    harness.advance_to(7)
    harness.expect_joined()
    harness.expect_logged('"unreachable"')
    harness.say("p", {"type": "applied", "node": 1, "nonce": 1, "latency": 6500.0})
    harness.expect_joined(1)
    harness.expect_received("p", "whole")
    harness.expect_logged('"reachable"')


def test_proxy_that_acknowledges_stays_however_little_it_reports(harness):
    """A proxy that answers its marks stays, however little it reports."""
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.say("p", {"type": "applied", "node": 1, "nonce": 1, "latency": 100.0})
    harness.advance_to(30)
    harness.expect_joined(1)
    harness.expect_not_logged('"unreachable"')


def test_orders_merge_for_a_proxy_that_does_not_read(harness):
    """A proxy that does not read: orders merge, and the last weights come once it does."""
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.join_proxy("q", 2, "n")
    harness.forget_received("p")
    harness.stop_reading("p")
    harness.flood_orders(300)
    harness.expect_pong("q")
    harness.resume_reading("p")
    harness.expect_received("p", '["backend-199",300.0]')
    harness.expect_joined(1, 2)


def test_message_that_arrives_as_an_order_is_written_belongs_to_the_next_turn(harness):
    """What arrives as an order is written belongs to the next turn: the planner takes turns for messages."""
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.say_while_writing("p", {"type": "odd"})
    harness.expect_received("p", '["a",2.5]')
    harness.expect_logged("a 'odd'")


def test_peer_that_pings_and_does_not_read_is_cut_off(harness):
    """Who asks and does not read is cut off; its answers stay few."""
    harness.list_backends(a="n")
    harness.join_proxy("q", 2, "n")
    harness.connect("x")
    harness.stop_reading("x")
    harness.say_many(4000, "x", {"type": "ping"})
    harness.expect_logged("it asks and does not read")
    harness.expect_closed("x")
    harness.expect_pong("q")


def test_joining_on_an_earlier_connection_does_not_end_a_later_one(harness):
    """A joining that arrives after its proxy has joined on a later connection does not end that one."""
    harness.list_backends(a="n")
    harness.connect("x")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.say("x", {"type": "joined", "node": 1, "locality": "n", "w": 5.0, "cold": True})
    harness.expect_received("x", "joined on a later connection")
    harness.expect_closed("x")
    harness.expect_pong("p")
    harness.expect_joined(1)
    harness.expect_not_logged('"connection_closed"')


def test_latest_connection_survives_when_three_come_in_one_turn(harness):
    """A connection that was evicted joins, ends, and the next joins, all in one turn.

    The last dialled one lives.
    """
    harness.list_backends(a="n")
    harness.connect("x")
    harness.connect("p")
    with harness.at_once():
        harness.say("p", {"type": "joined", "node": 1, "locality": "n", "w": 5.0, "cold": True})
        harness.say("x", {"type": "joined", "node": 1, "locality": "n", "w": 5.0, "cold": True})
        harness.end_sending("x")
    harness.expect_received("p", "whole")
    harness.expect_pong("p")
    harness.expect_joined(1)


def test_planner_learns_only_the_last_joining_of_a_turn(harness):
    """A joining, its end and the next joining in one turn: the planner knows the last alone.

    And it is bound.
    """
    harness.list_backends(a="n")
    harness.connect("p")
    harness.expect_pong("p")
    with harness.at_once():
        harness.say("p", {"type": "joined", "node": 1, "locality": "n", "w": 5.0, "cold": True})
        harness.end_sending("p")
        harness.join_before_accept("q", 1, "n")
    harness.expect_received("q", "whole")
    harness.expect_pong("q")
    harness.expect_joined(1)


def test_reports_on_a_replaced_stream_are_dropped(harness):
    """Marks and usage of a stream that was replaced count for nothing any more."""
    harness.list_backends(a="n")
    harness.add_class("pay", "free", 1 * SECOND, 1)
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    with harness.at_once():
        harness.say("p", {"type": "applied", "node": 1, "nonce": 1, "latency": 1.0})
        harness.say(
            "p", {"type": "usage", "node": 1, "route": "pay", "total": 9, "errors": 0, "interval": 1000.0}
        )
        harness.join_before_accept("q", 1, "n")
    harness.expect_received("q", "whole")
    harness.expect_pong("q")
    harness.expect_closed("p")
    harness.expect_joined(1)
    harness.expect_not_logged('"message_dropped"')


def test_answer_waits_for_a_peer_that_has_ended_its_side(harness):
    """Who has sent its last and still reads is written the answer that waits for it."""
    harness.list_backends(a="n")
    harness.connect("x")
    harness.stop_reading("x")
    harness.say("x", {"type": "ping"})
    harness.end_sending("x")
    harness.resume_reading("x")
    harness.expect_received("x", "pong")
    harness.expect_closed("x")
    harness.expect_logged('"serving"')
    harness.expect_not_logged('"task_failed"')


def test_peer_that_has_ended_its_side_and_does_not_read_is_closed_soon(harness):
    """Who has sent its last and reads nothing is closed all the same, soon."""
    harness.list_backends(a="n")
    harness.connect("x")
    harness.stop_reading("x")
    harness.say("x", {"type": "ping"})
    harness.end_sending("x")
    harness.advance_to(0.2)
    harness.expect_not_logged('"task_failed"')
    harness.advance_to(0.5)
    harness.expect_no_connections()


def test_proxy_that_has_ended_its_side_has_left(harness):
    """A proxy that has sent its last has left, though it still reads."""
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.end_sending("p")
    harness.expect_closed("p")
    harness.expect_joined()
    harness.expect_logged('"reason":"closed by peer"')


def test_reports_before_a_collectors_reset_count(harness):
    """What a collector sent before its connection was reset counts, though an answer to it waited."""
    harness.list_backends(a="n")
    harness.connect("c")
    harness.say("c", {"type": "collector", "locality": "n"})
    harness.expect_logged('"collector_joined"')
    harness.stop_reading("c")
    harness.say("c", {"type": "ping"})
    harness.fail_writes(
        "c",
        ConnectionResetError,
        {
            "type": "heard",
            "locality": "n",
            "endpoint": "a",
            "total": 9,
            "errors": 0,
            "rtt": 1.0,
            "interval": 1.0,
        },
    )
    harness.expect_attempts("a", 9)
    harness.expect_closed("c")
    harness.expect_not_logged('"task_failed"')


def test_order_that_found_no_room_is_written_later(harness):
    """An order that the system had no room for is written once it has."""
    harness.list_backends(a="n", b="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.stop_reading("p")
    harness.fail_writes("p", OSError)
    harness.act("set_entry", 0, "a", 2.5)
    harness.resume_reading("p")
    harness.expect_received("p", '["a",2.5]')
    harness.expect_pong("p")
    harness.expect_joined(1)


def test_message_that_arrives_at_the_silence_timeout_counts_first(harness):
    """A message of a silent proxy that arrives as it is marked unreachable counts first."""
    harness.list_backends(a="n")
    harness.connect("y")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.say("y", {"type": "collector", "locality": "n"})
    harness.expect_logged('"collector_joined"')
    with harness.at_once():
        harness.say("y", {"type": "ping"})
        harness.say_late(20, "p", {"type": "applied", "node": 1, "nonce": 1, "latency": 100.0})
    harness.expect_pong("p")
    harness.expect_joined(1)
    harness.expect_not_logged('"unreachable"')
