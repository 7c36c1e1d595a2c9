"""Health checks on a whole service."""


def test_answer_starts_a_new_backends_ramp(harness):
    """Health checks: an answer starts a new server's ramp, none keeps it out."""
    harness.set_settings(health_checks_allowed=True)
    harness.list_backends(a="n", b="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.list_backends(c="n", d="n", e="n", f="n")
    harness.stop_backend("d")
    harness.set_health_answer("e")
    harness.set_health_answer("f", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    harness.send_list(
        {
            "index": 9,
            "snapshot": False,
            "endpoints": [
                {"name": "c", "address": "@c", "zone": "n", "status": "ready"},
                {"name": "d", "address": "@d", "zone": "n", "status": "ready"},
                {"name": "e", "address": "@e", "zone": "n", "status": "ready"},
                {"name": "f", "address": "@f", "zone": "n", "status": "ready"},
            ],
        }
    )
    harness.expect_received("p", '["c",0.25]')
    harness.expect_logged('"health_check","name":"t","backend":"d","status":"unreachable"')
    harness.expect_logged('"backend":"f","status":"full"')
    harness.advance_to(0.7)
    harness.expect_logged('"backend":"e","status":"timeout"')
    harness.expect_not_received("p", '"d"')
    harness.expect_not_received("p", '"e"')


def test_malformed_or_broken_answer_is_no_answer(harness):
    """A health check that is answered with what is not HTTP, or cut off, is no answer."""
    harness.set_settings(health_checks_allowed=True)
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.list_backends(c="n", d="n")
    harness.set_health_answer("c", "nonsense\r\n\r\n")
    harness.set_health_answer("d", "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
    harness.send_list(
        {
            "index": 9,
            "snapshot": False,
            "endpoints": [
                {"name": "c", "address": "@c", "zone": "n", "status": "ready"},
                {"name": "d", "address": "@d", "zone": "n", "status": "ready"},
            ],
        }
    )
    harness.expect_logged('"backend":"c","status":"reset"')
    harness.expect_logged('"backend":"d","status":"error"')
    harness.expect_not_received("p", '"c"')


def test_answer_within_the_limit_counts_though_the_process_was_late(harness):
    """An answer to a health check that came within its limit counts.

    Though the process was late to read it.
    """
    harness.set_settings(health_checks_allowed=True)
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.list_backends(c="n")
    harness.set_health_answer("c")
    harness.send_list(
        {
            "index": 9,
            "snapshot": False,
            "endpoints": [{"name": "c", "address": "@c", "zone": "n", "status": "ready"}],
        }
    )
    harness.expect_health_check("c")
    with harness.at_once():
        harness.say("p", {"type": "ping"})
        harness.answer_late(2, "c", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    harness.expect_logged('"backend":"c","status":"ok"')
    harness.expect_not_logged('"timeout"')
