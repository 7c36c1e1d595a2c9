"""Compare the bytes that a coordinator writes to its sockets with committed recordings.

Each scenario runs a whole service on loopback. It records all bytes that the service writes to each
connection, in the order in which the connections were opened. Names replace the addresses that the kernel
chose. After an intended change of the wire format, write new recordings with
`GRANITESPOOL_RECORD=1 python -m pytest tests/test_wire_recordings.py`.
"""

import json
import os
import pathlib
import socket
from collections.abc import Callable

import pytest
from support import sockets
from support import wire_messages as messages
from support.service_harness import ServiceHarness
from support.sockets import END

from granitespool.units import MILLISECOND, SECOND

FOLDER = pathlib.Path(__file__).parent / "data" / "wire"
EMPTY_LINE = "1\r\n\n\r\n"  # an HTTP chunk with one empty line
STEP = 100 * MILLISECOND  # ns by which a waiting test advances the time


class RecordingService(ServiceHarness):
    """A service on loopback that records the bytes written to each of its connections."""

    def __init__(self) -> None:
        super().__init__()
        self.known_index = 7
        # The texts written to each stand-in, by the stand-in's name; one text for each connection
        self.written: dict[str, list[str]] = {}
        # The name of the stand-in that owns a socket, and the position of the socket's text in `written`
        self.streams: dict[socket.socket, tuple[str, int]] = {}

    def configuration(self) -> dict[str, object]:
        """Return the harness's configuration with an endpoint list of version `known_index`."""
        known = {
            "index": self.known_index,
            "endpoints": self.backends.initial_endpoints if self.known_index else [],
        }
        return {**super().configuration(), "known": known}

    def record(self, sock: socket.socket, text: str) -> str:
        """Append text that the service wrote to a connection to the recording of the connection."""
        if sock not in self.streams:
            owner = self.owner_of(sock)
            texts = self.written.setdefault(owner, [])
            texts.append("")
            self.streams[sock] = owner, len(texts) - 1
        owner, index = self.streams[sock]
        if not self.written[owner][index].endswith(END):
            self.written[owner][index] += text
        return text

    def owner_of(self, sock: socket.socket) -> str:
        """Return the name of the stand-in that owns a socket."""
        if sock in self.discovery.watches:
            return "discovery"
        for check_socket, backend in self.backends.checks:
            if check_socket is sock:
                return backend
        return next(name for name, client in self.clients.sockets.items() if client is sock)

    def recording(self) -> dict[str, list[str]]:
        """Return the written texts; names replace the addresses that the kernel chose."""
        names = {"{}:{}".format(*self.discovery.address): "DISCOVERY"}
        names |= {address: f"ADDRESS-OF-{backend}" for backend, address in self.backends.addresses.items()}
        return {
            owner: [self.replace_addresses(text, names) for text in texts]
            for owner, texts in self.written.items()
        }

    @staticmethod
    def replace_addresses(text: str, names: dict[str, str]) -> str:
        """Return the text with each address replaced by its name."""
        for address, name in names.items():
            text = text.replace(address, name)
        return text

    def wait_for_watch(self, number: int) -> None:
        """Advance the time until the service has requested `number` watches; allow 2 s for each watch."""
        for _ in range(20 * number):
            requests = self.written.get("discovery", [])
            if len(requests) >= number and requests[number - 1].endswith("\r\n\r\n"):
                return
            self.advance(STEP)
        raise AssertionError(self.written)

    def join(self, name: str, proxy: int) -> None:
        """Join as the proxy with the number `proxy` and wait for the proxy's table."""
        self.clients.join(name, proxy)
        self.clients.wait_for(name, "whole")

    def act(self, action: str, *arguments: object) -> None:
        """Queue an action of the planner and run a turn of the service."""
        getattr(self.actions, action)(*arguments)
        self.turn()


def watch_from_known(service: RecordingService) -> None:
    """Request the first watch from the version of the configured endpoint list."""
    service.backends.start("a", "b")
    service.wait_for_watch(1)


def watch_from_nothing(service: RecordingService) -> None:
    """Request the whole endpoint list from version 0 if no list is configured."""
    service.known_index = 0
    service.wait_for_watch(1)
    service.discovery.accept_watch()
    service.backends.start("a")
    service.discovery.send_line(messages.complete_list(41, messages.listed("a")))
    service.log.wait_for('"index":41')
    service.discovery.break_watch()
    service.wait_for_watch(2)


def watch_after_gap(service: RecordingService) -> None:
    """Reopen an ended watch from the latest received version; ignore older changes."""
    service.backends.start("a", "b")
    service.wait_for_watch(1)
    service.discovery.accept_watch()
    service.discovery.send_line(messages.list_changes(8, messages.listed("a", "draining")))
    service.discovery.send_line(messages.list_changes(9, messages.listed("b", weight=0.5)))
    service.discovery.break_watch()
    service.wait_for_watch(2)
    service.discovery.accept_watch()
    service.discovery.send_line(messages.list_changes(5, messages.listed("a", "gone")))
    service.log.wait_for("stale_endpoint_list")
    service.discovery.break_watch()
    service.wait_for_watch(3)


def watch_after_silence(service: RecordingService) -> None:
    """Reopen a watch that sends nothing, not even an empty line."""
    service.backends.start("a")
    service.wait_for_watch(1)
    service.discovery.accept_watch()
    service.discovery.send_line(messages.list_changes(12, messages.listed("a")))
    service.wait_for_watch(2)


def watch_after_errors(service: RecordingService) -> None:
    """Reopen a watch from the same version after an error status or invalid data."""
    service.backends.start("a")
    service.wait_for_watch(1)
    service.discovery.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    service.wait_for_watch(2)
    service.discovery.send("nonsense\r\n\r\n")
    service.wait_for_watch(3)
    service.discovery.accept_watch()
    service.discovery.send("4\r\nabc\n\r\n")
    service.wait_for_watch(4)
    service.discovery.accept_watch()
    service.discovery.send("0\r\n\r\n")
    service.wait_for_watch(5)


def watch_after_unreadable_entry(service: RecordingService) -> None:
    """Request changes from the version before an invalid entry again until the entry is valid."""
    service.backends.start("a")
    service.wait_for_watch(1)
    service.discovery.accept_watch()
    service.discovery.send_line(messages.list_changes(8, messages.listed("a", weight="much")))
    service.discovery.send_line(messages.list_changes(9, messages.listed("a")))
    for _ in range(12):
        service.advance(STEP)
    service.discovery.watches[-1].sendall(EMPTY_LINE.encode())
    service.wait_for_watch(2)
    service.discovery.accept_watch()
    service.discovery.send_line(messages.list_changes(9, messages.listed("a")))
    service.discovery.break_watch()
    service.wait_for_watch(3)


def watch_after_new_address(service: RecordingService) -> None:
    """Reopen the watch at the new address after a reload has changed the address of discovery."""
    service.backends.start("a")
    service.wait_for_watch(1)
    service.discovery.accept_watch()
    service.discovery.send_line(messages.list_changes(8, messages.listed("a")))
    service.discovery.move()
    service.reload()
    service.wait_for_watch(2)
    former, latest = service.written["discovery"]
    service.written["discovery"] = [
        former.split("Host: ")[0],
        latest,
    ]  # the former address has no name


def health_checks(service: RecordingService) -> None:
    """Request the load report of each new backend, also of a backend that answers with status 503."""
    service.configure(health_checks_allowed=True)
    service.backends.start("a")
    service.join("p", 1)
    service.wait_for_watch(1)
    service.discovery.accept_watch()
    service.backends.start("c", "d")
    service.backends.answer_health_checks("d", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    service.discovery.send_line(messages.list_changes(9, messages.listed("c"), messages.listed("d")))
    service.log.wait_for('"backend":"c","status":"ok"')
    service.log.wait_for('"backend":"d","status":"full"')
    for owner in ("p", "discovery"):
        del service.written[owner]
    service.written = {owner: texts[:1] for owner, texts in sorted(service.written.items())}


def datagrams(service: RecordingService) -> None:
    """Send datagrams to one peer or to all peers.

    A datagram of more than 256 bytes or to an unknown peer is not sent.
    """
    service.configure(gossip_allowed=True)
    service.backends.start("a")
    service.clients.connect("k")
    written = []
    peer = service.peers.peer
    peer.settimeout(5)
    for number, payload in ((0, "6a"), (-1, "6a6b"), (0, "00ff"), (-1, "ab" * 256)):
        service.act("send_gossip", number, payload)
        written.append(peer.recv(1024).hex())
    service.act("send_gossip", 0, "ab" * 257)
    service.act("send_gossip", 7, "6b")
    peer.setblocking(False)
    with pytest.raises(BlockingIOError):
        peer.recv(1024)
    service.written = {"peer": written}


def readiness(service: RecordingService) -> None:
    """Answer a ping on each kind of connection."""
    service.backends.start("a")
    service.clients.connect("pending")
    service.clients.wait_for_heartbeat("pending")
    service.clients.connect("k")
    service.clients.send("k", messages.collector("n"))
    service.clients.wait_for_heartbeat("k")
    service.join("p", 1)
    service.clients.wait_for_heartbeat("p")
    service.written.pop("discovery", None)


# First messages that are rejected, by the name of the client. The reason for the rejection is recorded, so
# only messages are used whose reason contains no text of a library.
REFUSED_FIRST_MESSAGES = {
    "kind": messages.framed(messages.applied(1, 1, 1.0)),
    "zone": messages.framed(messages.joined(1, "x", 1.0)),
    "proxy": messages.framed(messages.joined(4, "n", 1.0)),
    "field": messages.framed('{"type":"joined","node":1,"locality":"n","w":1.0}'),
    "untyped": messages.framed("{}"),
    "length": b"\x01\x04\x00\x00",
    "collector": messages.framed('{"type":"collector"}'),
}


def refused_streams(service: RecordingService) -> None:
    """Send the reason and close the connection if the first message is invalid or missing."""
    service.configure(proxies_expected=4)
    service.backends.start("a")
    for name, data in REFUSED_FIRST_MESSAGES.items():
        service.clients.connect(name)
        service.clients.send_bytes(name, data)
        service.clients.wait_for_end(name)
    service.clients.connect("silent")
    service.advance(1600 * MILLISECOND)
    service.clients.wait_for_end("silent")
    service.written.pop("discovery", None)


def finished_streams(service: RecordingService) -> None:
    """Write the unsent bytes of each connection and then close the connection when the service ends."""
    service.backends.start("a", "b")
    service.clients.connect("silent")
    service.clients.connect("k")
    service.clients.send("k", messages.collector("n"))
    service.join("p", 1)
    service.act("set_entry", 0, "a", 2.5)
    service.instance.streams.finish()
    for name in ("p", "k", "silent"):
        service.clients.wait_for_end(name)
    service.written.pop("discovery", None)


def orders(service: RecordingService) -> None:
    """Send a joined proxy its table, and then changed entries, an admission level and a barrier."""
    service.request_class("look", "read", latency_objective=SECOND, priority_weight=2)
    service.request_class("buy", "write", latency_objective=SECOND, priority_weight=9)
    service.backends.start("a", "b")
    service.join("p", 1)
    service.act("set_entry", 0, "a", 2.5)
    service.clients.wait_for("p", "2.5")
    service.act("set_entry", 0, "b", 0)
    service.act("set_admission", 0, 1, 0.75, 2)
    service.act("request_acknowledgement", 2, True)
    service.clients.wait_for("p", '"ticket":2')
    service.clients.wait_for_heartbeat("p")
    service.written.pop("discovery", None)


SCENARIOS: list[Callable[[RecordingService], None]] = [
    watch_from_known,
    watch_from_nothing,
    watch_after_gap,
    watch_after_silence,
    watch_after_errors,
    watch_after_unreadable_entry,
    watch_after_new_address,
    health_checks,
    datagrams,
    readiness,
    refused_streams,
    finished_streams,
    orders,
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_written_bytes_match_the_recording(monkeypatch, scenario):
    service = RecordingService()
    received = sockets.received
    monkeypatch.setattr(sockets, "received", lambda sock: service.record(sock, received(sock)))
    try:
        scenario(service)
        written = service.recording()
    finally:
        service.close()
    path = FOLDER / f"{scenario.__name__}.json"
    if os.environ.get("GRANITESPOOL_RECORD"):
        path.write_text(json.dumps(written, indent=1) + "\n")
    assert written == json.loads(path.read_text())
