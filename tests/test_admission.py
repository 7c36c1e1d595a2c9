"""Which connections keep their place when descriptors, places or buffers run out, and rejections."""


def test_connection_that_does_not_join_in_time_is_rejected(harness):
    """Who has not joined in time is rejected, whatever it sends meanwhile; who has joined stays."""
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.connect("c")
    harness.say("c", {"type": "collector", "locality": "n"})
    harness.expect_logged('"collector_joined"')
    harness.connect("x")
    harness.connect("y")
    harness.expect_pong("y")
    harness.connect("h")
    harness.send_hex("h", "6400000001")
    harness.connect_many("w", 3)
    harness.advance_to(1.4)
    harness.expect_pong("y")
    harness.send_hex("h", "02")
    harness.advance_to(1.6)
    harness.expect_closed("x")
    harness.expect_closed("y")
    harness.expect_received("y", "refused")
    harness.expect_closed("h")
    harness.expect_closed("w2")
    harness.expect_logged("it has not joined in time")
    harness.connect("z")
    harness.expect_pong("z")
    harness.expect_pong("c")
    harness.expect_pong("p")
    harness.expect_joined(1)


def test_impossible_first_messages_are_rejected_at_once(harness):
    """HTTP, an impossible length, a long first message and an order are rejected at once."""
    harness.list_backends(a="n")
    harness.connect("a")
    harness.send_hex("a", "474554202f20485454502f312e310d0a0d0a")
    harness.expect_received("a", '"type":"refused"')
    harness.expect_closed("a")
    harness.expect_logged("over the limit")
    harness.connect("b")
    harness.send_hex("b", "ffffffff")
    harness.expect_closed("b")
    harness.connect("c")
    harness.send_hex("c", "01040000")
    harness.expect_closed("c")
    harness.expect_logged("a message of 1025 bytes is over the limit")
    harness.connect("d")
    harness.say("d", {"type": "update", "classes": ["pay"], "whole": True})
    harness.expect_closed("d")
    harness.expect_logged("a 'update' came before")
    harness.connect("e")
    harness.say(
        "e", {"type": "usage", "node": 1, "route": "pay", "total": 1, "errors": 0, "interval": 1000.0}
    )
    harness.expect_closed("e")
    harness.connect("f")
    harness.send_hex("f", "1004")
    harness.hang_up("f")
    harness.connect("g")
    harness.hang_up("g")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.send_incomplete("p", 100000)
    harness.send_hex("p", "20")
    harness.expect_logged("not JSON")


def test_oldest_pending_connections_are_evicted_under_small_limits(harness):
    """Hundreds of pending connections under small limits: the oldest are evicted, joined streams.

    Collectors do not.
    """
    harness.set_limits(sockets=64, memory_mb=32)
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.connect("c")
    harness.say("c", {"type": "collector", "locality": "n"})
    harness.expect_logged('"collector_joined"')
    harness.connect_many("x", 38)
    harness.advance_to(0.1)
    harness.connect_many("x", 38)
    harness.connect("q")
    harness.say("q", {"type": "joined", "node": 2, "locality": "n", "w": 5.0, "cold": True})
    harness.expect_not_logged('"rejected"')
    harness.expect_logged('"evicted"')
    harness.advance_to(0.2)
    harness.expect_received("q", "whole")
    harness.expect_pong("p")
    harness.expect_pong("c")
    harness.expect_joined(1, 2)
    harness.expect_not_logged('"role":"collector","reason":"closed by coordinator"')


def test_pending_connections_keep_their_place_for_a_moment(harness):
    """Pending connections are evicted when they have had a moment to join.

    And what came with a connection is read at once.
    """
    harness.set_limits(sockets=64, memory_mb=32)
    harness.list_backends(a="n")
    harness.connect_many("x", 40)
    harness.join_before_accept("p", 1, "n")
    harness.expect_not_logged('"evicted"')
    harness.expect_not_logged('"joined"')
    harness.advance_to(0.1)
    harness.expect_logged('"evicted"')
    harness.expect_received("p", "whole")
    harness.expect_joined(1)
    harness.expect_pong("x39")


def test_all_proxies_at_once_are_taken_under_the_smallest_limits(harness):
    """All proxies at once, under the smallest limits, are taken and bound."""
    harness.set_limits(sockets=256, memory_mb=32)
    harness.list_backends(a="n", b="n", c="n")
    harness.join_all_at_once(200, "n")
    harness.expect_logged('"proxy":199')
    harness.expect_received("t0", "whole")
    harness.expect_received("t199", "whole")
    harness.expect_not_logged('"evicted"')
    harness.expect_not_logged('"task_failed"')


def test_oldest_pending_connection_is_evicted_when_descriptors_run_out(harness):
    """Descriptors run out at accept: the oldest pending connection is evicted, joined streams do not."""
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.connect("x")
    harness.connect("y")
    harness.expect_pong("x")
    harness.advance_to(0.1)
    harness.limit_descriptors(1)
    harness.connect("z")
    harness.expect_closed("x")
    harness.expect_logged('"evicted"')
    harness.expect_pong("z")
    harness.expect_pong("y")
    harness.expect_pong("p")
    harness.expect_joined(1)


def test_peer_that_needs_a_buffer_when_all_are_out_is_closed(harness):
    """Half messages of joined parties: who asks for a buffer when all are out is ended, the others stay."""
    harness.set_limits(memory_mb=9)
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.join_proxy("q", 2, "n")
    harness.join_proxy("r", 3, "n")
    harness.expect_received("r", "whole")
    harness.send_incomplete("p", 1048576)
    harness.send_incomplete("q", 1048576)
    harness.send_incomplete("r", 1048576)
    harness.expect_logged("no buffer is free")
    harness.expect_buffers_at_most(130)
    harness.expect_joined(1, 2)
    harness.send_hex("p", "20")
    harness.expect_closed("p")
    harness.connect("s")
    harness.expect_pong("s")
    harness.expect_joined(2)
    harness.expect_buffers_at_most(65)


def test_rejected_connection_reads_the_reason_though_it_goes_on_sending(harness):
    """A refused pending connection reads its last word though it goes on sending."""
    harness.list_backends(a="n")
    harness.connect("x")
    harness.send_hex("x", "474554202f20485454502f312e310d0a0d0a")
    harness.expect_received("x", '"type":"refused"')
    harness.send_hex("x", "474554202f20485454502f312e310d0a0d0a")
    harness.expect_closed("x")
    harness.expect_orderly_end("x")


def test_joining_that_came_while_the_process_was_late_is_read_in_time(harness):
    """A joining that has come while the process was late is read before its time is over."""
    harness.list_backends(a="n")
    harness.connect("x")
    harness.connect("y")
    harness.say("y", {"type": "collector", "locality": "n"})
    harness.expect_logged('"collector_joined"')
    with harness.at_once():
        harness.say("y", {"type": "ping"})
        harness.say_late(2, "x", {"type": "joined", "node": 1, "locality": "n", "w": 5.0, "cold": True})
    harness.expect_received("x", "whole")
    harness.expect_joined(1)
    harness.expect_not_logged('"rejected"')


def test_flood_costs_no_collector_or_proxy_its_place(harness):
    """A flood of pending connections costs no collector its place, nor a proxy.

    One that joins as a proxy does.
    """
    harness.set_limits(sockets=25)
    harness.list_backends(a="n")
    harness.join_proxy("p0", 0, "n")
    harness.join_proxy("p1", 1, "n")
    harness.join_proxy("p2", 2, "n")
    harness.join_proxy("p3", 3, "n")
    harness.join_proxy("p4", 4, "n")
    harness.join_proxy("p5", 5, "n")
    harness.join_proxy("p6", 6, "n")
    harness.connect("c")
    harness.say("c", {"type": "collector", "locality": "n"})
    harness.expect_logged('"collector_joined"')
    harness.connect_many("x", 5)
    harness.advance_to(0.1)
    harness.connect_many("y", 5)
    harness.advance_to(0.2)
    harness.connect_many("z", 5)
    harness.advance_to(0.3)
    harness.expect_pong("c")
    harness.expect_pong("p0")
    harness.expect_joined(0, 1, 2, 3, 4, 5, 6)
    harness.expect_not_logged('"role":"collector"')
    harness.advance_to(0.4)
    harness.join_before_accept("q", 7, "n")
    harness.expect_received("q", "whole")
    harness.expect_joined(0, 1, 2, 3, 4, 5, 6, 7)
    harness.expect_logged('"role":"collector"')
    harness.expect_closed("c")


def test_joining_is_rejected_at_once_where_proxies_hold_all_places(harness):
    """Where proxies hold all places, whoever joins is told at once."""
    harness.set_limits(sockets=25)
    harness.list_backends(a="n")
    harness.join_all_at_once(8, "n")
    harness.expect_received("t7", "whole")
    harness.connect("q")
    harness.say("q", {"type": "joined", "node": 9, "locality": "n", "w": 5.0, "cold": True})
    harness.expect_received("q", "no place is free here")
    harness.expect_closed("q")
    harness.expect_pong("t0")
    harness.expect_joined(0, 1, 2, 3, 4, 5, 6, 7)
    harness.advance_to(0.5)
    harness.join_proxy("r", 3, "n")
    harness.expect_received("r", "whole")
    harness.expect_closed("t3")
    harness.expect_joined(0, 1, 2, 3, 4, 5, 6, 7)


def test_connection_without_a_buffer_is_not_evicted_for_one(harness):
    """Out of buffers, who holds none is not evicted in vain."""
    harness.set_limits(memory_mb=9)
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.join_proxy("r", 2, "n")
    harness.expect_received("r", "whole")
    harness.connect("c")
    harness.say("c", {"type": "collector", "locality": "n"})
    harness.expect_logged('"collector_joined"')
    harness.connect("s")
    harness.expect_pong("s")
    harness.advance_to(0.1)
    harness.send_incomplete("p", 1048576)
    harness.send_incomplete("c", 1048576)
    harness.send_incomplete("r", 1048576)
    harness.expect_logged('"evicted","name":"t"')
    harness.expect_logged('"role":"collector"')
    harness.expect_pong("s")
    harness.expect_joined(1, 2)
    harness.expect_not_logged("no buffer")


def test_pending_connection_that_needs_a_buffer_does_not_evict_itself(harness):
    """Out of buffers, a pending connection that asks for one is not evicted by itself, but refused."""
    harness.set_limits(memory_mb=9)
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.join_proxy("r", 2, "n")
    harness.expect_received("r", "whole")
    harness.connect("x")
    harness.expect_pong("x")
    harness.advance_to(0.1)
    harness.send_incomplete("p", 1048576)
    harness.send_incomplete("r", 1048576)
    harness.leave_buffers(1)
    harness.fill_buffer_with_pings("x")
    harness.expect_received("x", "no buffer is free")
    harness.expect_closed("x")
    harness.expect_not_logged('"task_failed"')
    harness.expect_joined(1, 2)
