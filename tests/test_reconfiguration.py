"""A new configuration while the service runs."""

from granitespool.units import SECOND


def test_new_configuration_moves_the_watch_and_keeps_the_streams(harness):
    """A new configuration moves the watch from its version; streams, tables and list stay."""
    harness.list_backends(a="n", b="n", c="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.send_list(
        {
            "index": 9,
            "snapshot": False,
            "endpoints": [{"name": "b", "address": "@b", "zone": "n", "status": "draining"}],
        }
    )
    harness.expect_received("p", '["b",0.0]')
    harness.forget_received("p")
    harness.move_discovery()
    harness.reload()
    harness.reload()
    harness.expect_asked("GET /discovery/hosts?watch=1&after=9")
    harness.expect_logged('"reloaded"')
    harness.accept_watch()
    harness.send_list(
        {
            "index": 10,
            "snapshot": False,
            "endpoints": [{"name": "c", "address": "@c", "zone": "n", "status": "draining"}],
        }
    )
    harness.expect_received("p", '["c",0.0]')
    harness.expect_not_received("p", '"whole"')
    harness.expect_joined(1)
    harness.reload()
    harness.expect_logged('"restart_required":[]')
    harness.expect_not_asked()


def test_unanswered_discovery_is_dialled_on_and_wrong_configuration_changes_nothing(harness):
    """A new configuration whose discovery does not answer is dialled on.

    And one that is wrong changes nothing.
    """
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.reload_unreadable()
    harness.expect_logged('"reload_rejected","name":"t","reason":"it is wrong"')
    harness.expect_not_asked()
    harness.expect_not_logged('"reloaded"')
    harness.move_discovery()
    harness.limit_descriptors(0)
    harness.reload()
    harness.lift_descriptor_limit()
    harness.advance_to(2)
    harness.expect_asked("after=7")
    harness.expect_pong("p")
    harness.expect_joined(1)
    harness.expect_not_logged('"task_failed"')


def test_new_settings_take_effect_or_are_named_as_waiting(harness):
    """New settings act at once where they can, and the log names those that wait for a restart."""
    harness.add_class("pay", "free", 1 * SECOND, 1)
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.reload(proxies_expected=2, zones="w")
    harness.say(
        "p", {"type": "usage", "node": 1, "route": "pay", "total": 1, "errors": 0, "interval": 1000.0}
    )
    harness.join_proxy("q", 2, "w")
    harness.expect_closed("q")
    harness.join_proxy("q", 1, "w")
    harness.expect_joined(1)
    harness.add_class("see", "free", 1 * SECOND, 1)
    harness.reload()
    harness.expect_logged('"restart_required":["classes"]')
    harness.say(
        "q", {"type": "usage", "node": 1, "route": "see", "total": 1, "errors": 0, "interval": 1000.0}
    )
    harness.expect_logged("the unknown 'see'")


def test_joined_proxy_stays_though_fewer_are_expected(harness):
    """A proxy that joined stays a sender though a new configuration expects fewer."""
    harness.add_class("pay", "free", 1 * SECOND, 1)
    harness.list_backends(a="n")
    harness.join_proxy("p", 9, "n")
    harness.expect_received("p", "whole")
    harness.reload(proxies_expected=2)
    harness.say(
        "p", {"type": "usage", "node": 9, "route": "pay", "total": 1, "errors": 0, "interval": 1000.0}
    )
    harness.say("p", {"type": "applied", "node": 9, "nonce": 1, "latency": 100.0})
    harness.expect_pong("p")
    harness.expect_not_logged('"message_dropped"')
    harness.expect_joined(9)


def test_new_settings_and_a_join_timeout_in_one_turn_both_hold(harness):
    """The time of an unauthenticated connection is over in the turn in which the settings change.

    Both hold.
    """
    harness.list_backends(a="n")
    harness.connect("x")
    harness.advance_to(1.4)
    with harness.at_once():
        harness.advance_to(1.6)
        harness.reload(zones="w")
    harness.expect_closed("x")
    harness.expect_logged("it has not joined in time")
    harness.expect_logged('"reloaded"')
    harness.connect("c")
    harness.say("c", {"type": "collector", "locality": "w"})
    harness.expect_logged('"collector_joined"')


def test_watch_that_ends_as_discovery_moves_is_dialled_once(harness):
    """The watch dies in the instant of a reload that moves discovery: one new watch, at the new address."""
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.expect_asked("after=7")
    harness.accept_watch()
    with harness.at_once():
        harness.reset_watch()
        harness.move_discovery()
        harness.reload()
    harness.advance_to(2)
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.send_list(
        {
            "index": 9,
            "snapshot": False,
            "endpoints": [{"name": "a", "address": "@a", "zone": "n", "status": "draining"}],
        }
    )
    harness.advance_to(4)
    harness.expect_not_asked()
    harness.expect_pong("p")
    harness.expect_joined(1)


def test_joining_rejection_and_reload_in_one_instant_again_and_again(harness):
    """The same proxy, pending connection and reload, again and again within an instant."""
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    with harness.at_once():
        harness.join_before_accept("q", 1, "n")
        harness.join_before_accept("r", 1, "n")
        harness.join_before_accept("s", 1, "n")
        harness.reload()
        harness.reload()
        harness.join_before_accept("t", 1, "n")
    harness.expect_received("t", "whole")
    harness.expect_pong("t")
    harness.expect_joined(1)
    harness.expect_closed("q")
    harness.expect_closed("r")
    harness.expect_closed("s")
    harness.expect_closed("p")
    harness.connect("x")
    harness.hang_up("x")
    harness.connect("x")
    harness.hang_up("x")
    harness.connect("x")
    harness.expect_pong("x")
    harness.expect_not_logged('"task_failed"')
