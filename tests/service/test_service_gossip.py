"""Gossip datagrams between coordinators over UDP."""

from support.service_harness import ServiceHarness
from support.service_outlets import PeerStandIns, ServiceLog


def test_datagrams_of_unknown_peers_and_too_long_ones_are_dropped_and_others_are_exchanged(
    service: ServiceHarness, peers: PeerStandIns, log: ServiceLog
) -> None:
    service.configure(gossip_allowed=True)
    peers.send(peers.peer, b"hi")
    peers.send(peers.peer, b"a" * 256)
    assert '"message_dropped"' not in log.text
    peers.send(peers.unknown, b"hi")
    log.wait_for("a datagram of no configured peer")
    peers.send(peers.peer, b"b" * 257)
    log.wait_for_dropped_messages(2)
    assert '"task_failed"' not in log.text
    assert '"internal_error"' not in log.text
    service.actions.send_gossip(-1, "6a6b")
    service.turn()
    assert peers.next_datagram() == b"jk"
    service.actions.send_gossip(0, "6a")
    service.turn()
    assert peers.next_datagram() == b"j"
