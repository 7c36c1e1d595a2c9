"""The watch of the endpoint list on a whole service."""


def test_watch_asks_for_changes_since_the_known_list(harness):
    """The watch asks for what came after the known list, and its changes reach the proxies."""
    harness.list_backends(a="n", b="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.expect_asked("GET /discovery/hosts?watch=1&after=7")
    harness.accept_watch()
    harness.send_list(
        {
            "index": 9,
            "snapshot": False,
            "endpoints": [
                {
                    "name": "a",
                    "address": "@a",
                    "zone": "n",
                    "type": "m",
                    "group": 0,
                    "status": "draining",
                    "weight": 1.0,
                    "since_ms": 0,
                }
            ],
        }
    )
    harness.expect_received("p", '["a",0.0]')
    harness.reset_watch()
    harness.advance_to(2)
    harness.expect_asked("after=9")


def test_first_list_that_names_anyone_is_the_one_to_start_from(harness):
    """Nothing is known at first: the first list that names anyone is the one to start from.

    At full weight.
    """
    harness.set_settings(health_checks_allowed=True)
    harness.join_proxy("p", 1, "n")
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.send_list({"index": 8, "snapshot": True, "endpoints": []})
    harness.list_backends(a="n")
    harness.send_list(
        {
            "index": 9,
            "snapshot": True,
            "endpoints": [{"name": "a", "address": "@a", "zone": "n", "status": "ready"}],
        }
    )
    harness.expect_received("p", '["a",1.0]')


def test_complete_list_removes_what_it_does_not_name(harness):
    """A complete list comes: who is not in it is gone."""
    harness.list_backends(a="n", b="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.send_list(
        {
            "index": 12,
            "snapshot": True,
            "endpoints": [{"name": "a", "address": "@a", "zone": "n", "status": "ready"}],
        }
    )
    harness.expect_received("p", '["b",0.0]')


def test_wrong_entry_is_skipped_and_nobody_leaves_by_it(harness):
    """An entry that is wrong is left out with a line, and nobody leaves by it."""
    harness.list_backends(a="n", b="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.send_list(
        {
            "index": 12,
            "snapshot": True,
            "endpoints": [
                {"name": "a", "address": "@a", "zone": "n", "status": "ready"},
                {"name": "b", "status": 7},
            ],
        }
    )
    harness.expect_logged('"endpoint_skipped"')
    harness.expect_not_received("p", '["b",0.0]')
    harness.send_list(
        {
            "index": 13,
            "snapshot": False,
            "endpoints": [{"name": "b", "address": "nowhere", "status": "draining", "since_ms": 0}],
        }
    )
    harness.expect_logged("'nowhere' is not an address")
    harness.expect_received("p", '["b",0.0]')


def test_empty_lines_keep_the_watch_and_silence_ends_it(harness):
    """An empty line each two seconds keeps the watch, silence past it ends it, and the list stays."""
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.advance_to(2)
    harness.send_list("")
    harness.advance_to(4)
    harness.expect_not_asked()
    harness.advance_to(5)
    harness.expect_asked("after=7")
    harness.expect_logged('"watch_ended"')
    harness.expect_not_received("p", '["a",0.0]')


def test_stopped_process_reads_what_came_before_it_times_out(harness):
    """The process stops for seconds: what came meanwhile is read before anyone is taken for silent."""
    harness.list_backends(a="n", b="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.say("p", {"type": "applied", "node": 1, "nonce": 1, "latency": 100.0})
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.send_list_unread(
        {
            "index": 9,
            "snapshot": False,
            "endpoints": [{"name": "a", "address": "@a", "zone": "n", "status": "draining"}],
        }
    )
    harness.stall(20)
    harness.expect_received("p", '["a",0.0]')
    harness.expect_not_logged('"watch_ended"')
    harness.expect_not_logged('"unreachable"')


def test_failed_watch_is_dialled_again_with_backoff(harness):
    """A watch that is rejected, malformed or cut within a line is dialled again, later each time."""
    harness.expect_asked("after=7")
    harness.send_raw_list("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    harness.expect_logged("was answered 503")
    harness.advance_to(1)
    harness.expect_asked("after=7")
    harness.send_raw_list("nonsense\r\n\r\n")
    harness.expect_logged('"watch_ended"')
    harness.advance_to(2)
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.send_list('{"index":12,')
    harness.expect_logged("not JSON")
    harness.advance_to(4)
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.send_raw_list('5\r\n{"ind')
    harness.reset_watch()
    harness.advance_to(6)
    harness.expect_asked("after=7")


def test_nothing_grows_while_backends_and_streams_come_and_go(harness):
    """Backends come and go under new names and streams anew: what is kept stays as small as what lives."""
    harness.list_backends(a="n", b="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.connect("c")
    harness.say("c", {"type": "collector", "locality": "n"})
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.churn(120, "n")
    harness.expect_kept_at_most(40)
    harness.say(
        "c",
        {
            "type": "heard",
            "locality": "n",
            "endpoint": "churned-3",
            "total": 9,
            "errors": 9,
            "rtt": 0.0,
            "interval": 1000.0,
        },
    )
    harness.expect_logged("the unknown 'churned-3'")
    harness.send_list(
        {
            "index": 900,
            "snapshot": False,
            "endpoints": [
                {"name": "churned-3", "address": "127.0.0.1:9", "zone": "n", "status": "ready", "since_ms": 0}
            ],
        }
    )
    harness.expect_received("p", '["churned-3",')
    harness.expect_not_logged('"task_failed"')
    harness.expect_not_logged('"internal_error"')


def test_watch_that_never_ends_a_line_is_dialled_again(harness):
    """A watch that sends parts of a line for ever is dialled again; the list stays."""
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.drip_list(8, '{"index":9,')
    harness.expect_not_logged('"watch_ended"')
    harness.drip_list(2, '{"index":9,')
    harness.expect_logged("did not end in time")
    harness.expect_asked("after=7")
    harness.expect_not_received("p", '["a",0.0]')


def test_ended_watch_is_logged_with_reason_version_and_age(harness):
    """The log tells of an ended watch why, what version is held and how old it is."""
    harness.list_backends(a="n")
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.send_list({"index": 9, "snapshot": False, "endpoints": []})
    harness.advance_to(1)
    harness.send_raw_list("0\r\n\r\n")
    harness.expect_logged('"reason":"the list\'s watch was ended","index":9,"silence_ms":99')
    harness.advance_to(2)
    harness.expect_asked("after=9")


def test_watch_cut_around_a_line_keeps_what_was_complete(harness):
    """A watch dies before, in and just after a line: what was whole counts, the rest is asked for again."""
    harness.list_backends(a="n", b="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.expect_asked("after=7")
    harness.reset_watch()
    harness.advance_to(1)
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.send_raw_list('40\r\n{"index":9,"snapshot":fal')
    harness.reset_watch()
    harness.advance_to(2)
    harness.expect_asked("after=7")
    harness.accept_watch()
    with harness.at_once():
        harness.send_list_unread(
            {
                "index": 9,
                "snapshot": False,
                "endpoints": [{"name": "a", "address": "@a", "zone": "n", "status": "draining"}],
            }
        )
        harness.reset_watch()
    harness.expect_received("p", '["a",0.0]')
    harness.advance_to(4)
    harness.expect_asked("after=9")


def test_unreadable_entry_is_polled_from_the_version_before_it_with_backoff(harness):
    """An entry that could not be read is asked for again from the version before it, less and less often."""
    harness.list_backends(a="n", b="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.send_list({"index": 8, "snapshot": False, "endpoints": [{"name": "b", "status": 7}]})
    harness.expect_logged('"endpoint_skipped"')
    harness.send_list(
        {
            "index": 9,
            "snapshot": False,
            "endpoints": [{"name": "a", "address": "@a", "zone": "n", "status": "draining"}],
        }
    )
    harness.expect_received("p", '["a",0.0]')
    harness.advance_to(1.1)
    harness.send_list("")
    harness.expect_logged("asked for again")
    harness.advance_to(2)
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.send_list({"index": 9, "snapshot": False, "endpoints": [{"name": "b", "status": 7}]})
    harness.advance_to(3.5)
    harness.send_list("")
    harness.expect_not_asked()
    harness.advance_to(4.2)
    harness.send_list("")
    harness.advance_to(5)
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.send_list(
        {
            "index": 9,
            "snapshot": False,
            "endpoints": [{"name": "b", "address": "@b", "zone": "n", "status": "gone"}],
        }
    )
    harness.expect_received("p", '["b",0.0]')
    harness.reset_watch()
    harness.advance_to(6)
    harness.expect_asked("after=9")


def test_polled_changes_may_come_in_pieces(harness):
    """What is asked for again may come in pieces, the older first."""
    harness.list_backends(a="n", b="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.send_list({"index": 8, "snapshot": False, "endpoints": [{"name": "b", "status": 7}]})
    harness.send_list(
        {
            "index": 9,
            "snapshot": False,
            "endpoints": [{"name": "a", "address": "@a", "zone": "n", "status": "draining"}],
        }
    )
    harness.expect_received("p", '["a",0.0]')
    harness.reset_watch()
    harness.advance_to(1)
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.send_list(
        {
            "index": 8,
            "snapshot": False,
            "endpoints": [{"name": "b", "address": "@b", "zone": "n", "status": "draining"}],
        }
    )
    harness.expect_received("p", '["b",0.0]')
    harness.expect_not_logged('"stale_endpoint_list"')


def test_entry_with_labels_that_are_no_names_is_skipped(harness):
    """An entry whose zone, kind or cell is no name is left out; the planner goes on."""
    harness.list_backends(a="n", b="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.send_list(
        {
            "index": 8,
            "snapshot": False,
            "endpoints": [
                {"name": "x", "zone": ["n"], "status": "ready"},
                {"name": "y", "zone": "n", "type": {}, "status": "ready"},
                {"name": "z", "zone": "n", "group": [1], "status": "ready"},
                {"name": "b", "address": "@b", "zone": "n", "status": "draining"},
            ],
        }
    )
    harness.expect_received("p", '["b",0.0]')
    harness.advance_to(2)
    harness.expect_not_logged('"internal_error"')
    harness.expect_not_received("p", '"x"')
    harness.expect_not_received("p", '"y"')


def test_older_changes_are_ignored_and_a_complete_list_is_taken(harness):
    """Changes that are older than what is held change nothing; a complete list stands for itself."""
    harness.list_backends(a="n", b="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.send_list(
        {
            "index": 9,
            "snapshot": False,
            "endpoints": [{"name": "a", "address": "@a", "zone": "n", "status": "draining"}],
        }
    )
    harness.expect_received("p", '["a",0.0]')
    harness.forget_received("p")
    harness.send_list(
        {
            "index": 8,
            "snapshot": False,
            "endpoints": [{"name": "a", "address": "@a", "zone": "n", "status": "ready"}],
        }
    )
    harness.expect_logged('"stale_endpoint_list","name":"t","index":8,"held_index":9')
    harness.expect_not_received("p", '"a"')
    harness.reset_watch()
    harness.advance_to(2)
    harness.expect_asked("after=9")
    harness.accept_watch()
    harness.send_list(
        {
            "index": 3,
            "snapshot": True,
            "endpoints": [{"name": "a", "address": "@a", "zone": "n", "status": "ready"}],
        }
    )
    harness.expect_received("p", '["b",0.0]')
    harness.reset_watch()
    harness.advance_to(4)
    harness.expect_asked("after=3")


def test_repeated_and_reverted_drains_end_with_the_last_one(harness):
    """A drain told twice and told backward while its orders wait, and a return at another address."""
    harness.list_backends(a="n", b="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.forget_received("p")
    harness.expect_asked("after=7")
    harness.accept_watch()
    harness.stop_reading("p")
    with harness.at_once():
        harness.send_list_unread(
            {
                "index": 8,
                "snapshot": False,
                "endpoints": [{"name": "a", "address": "@a", "zone": "n", "status": "draining"}],
            }
        )
        harness.send_list_unread(
            {
                "index": 9,
                "snapshot": False,
                "endpoints": [{"name": "a", "address": "@a", "zone": "n", "status": "draining"}],
            }
        )
    harness.send_list(
        {
            "index": 10,
            "snapshot": False,
            "endpoints": [{"name": "a", "address": "@a", "zone": "n", "status": "gone"}],
        }
    )
    harness.send_list(
        {
            "index": 11,
            "snapshot": False,
            "endpoints": [{"name": "a", "address": "@a", "zone": "n", "status": "draining"}],
        }
    )
    harness.resume_reading("p")
    harness.expect_received("p", '["a",0.0]')
    harness.forget_received("p")
    harness.say("p", {"type": "applied", "node": 1, "nonce": 2, "latency": 1.0})
    harness.advance_to(1)
    harness.send_list(
        {
            "index": 12,
            "snapshot": False,
            "endpoints": [
                {"name": "a", "address": "@b", "zone": "n", "status": "ready", "since_ms": 1000000000000}
            ],
        }
    )
    harness.advance_to(2)
    harness.expect_received("p", '["a",0.25]')
    harness.expect_health_check_address("a", of="b")
