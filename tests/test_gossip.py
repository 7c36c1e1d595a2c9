"""Datagrams between coordinators on a whole service."""


def test_datagrams_of_no_peer_or_too_long_are_dropped(harness):
    """Datagrams of no peer and those that are too long are dropped."""
    harness.set_settings(gossip_allowed=True)
    harness.send_datagram("peer", "6869")
    harness.send_datagram("peer", "61", 256)
    harness.expect_not_logged('"message_dropped"')
    harness.send_datagram("unknown", "6869")
    harness.expect_logged("a datagram of no peer")
    harness.send_datagram("peer", "62", 257)
    harness.expect_dropped(2)
    harness.expect_not_logged('"task_failed"')
    harness.expect_not_logged('"internal_error"')
    harness.act("send_gossip", -1, "6a6b")
    harness.expect_datagram("6a6b")
    harness.act("send_gossip", 0, "6a")
    harness.expect_datagram("6a")
