"""The log on a whole service, where others cause many lines or nobody reads them."""

from granitespool.units import SECOND


def test_repeated_events_are_suppressed_to_a_number(harness):
    """Who sends what is wrong without end makes some lines a second, and then a number."""
    harness.list_backends(a="n")
    harness.add_class("pay", "free", 1 * SECOND, 1)
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.say_many(
        500,
        "p",
        {"type": "usage", "node": 1, "route": "an-unknown-one", "total": 1, "errors": 0, "interval": 1000.0},
    )
    harness.expect_pong("p")
    harness.advance_to(1)
    harness.say("p", {"type": "odd"})
    harness.expect_logged('"suppressed"')
    harness.expect_logged('{"message_dropped":480}')
    harness.expect_dropped(22)


def test_unread_log_is_cut_and_nothing_else_waits(harness):
    """Nobody reads the log: it is cut, and nothing else waits."""
    harness.list_backends(a="n")
    harness.add_class("pay", "free", 1 * SECOND, 1)
    harness.stop_log_reader()
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.log_internal_errors(3000)
    harness.resume_log_reader()
    harness.expect_logged('"log_dropped"')
    harness.expect_pong("p")
    harness.expect_not_logged('"task_failed"')
