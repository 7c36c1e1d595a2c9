"""The bytes that a coordinator writes to its sockets, compared with committed recordings.

Each scenario drives a whole service on loopback and notes, for each connection in order, all bytes that the
service wrote to it. Addresses of the day are replaced by names. A recording is written anew, after a wanted
change of the wire, by `GRANITESPOOL_RECORD=1 python -m pytest tests/test_wire_recordings.py`."""

import json
import os
import pathlib
import socket
from collections.abc import Callable

import pytest
from support.service_harness import CLOSED, ServiceHarness

from granitespool.units import SECOND

FOLDER = pathlib.Path(__file__).parent / "data" / "wire"
EMPTY_LINE = b"1\r\n\n\r\n"


class RecordingHarness(ServiceHarness):
    """A service on loopback that notes what each of its connections was written."""

    def __init__(self) -> None:
        super().__init__()
        self.written: dict[str, list[str]] = {}  # whose connection -> a text for each, in order
        self.places: dict[socket.socket, int] = {}  # a connection's place among its owner's

    def received_of(self, owner: str, sock: socket.socket) -> str:
        """Adds what was just read from a connection of the service to its record."""
        text = super().received_of(owner, sock)
        texts = self.written.setdefault(owner, [])
        if sock not in self.places:
            self.places[sock] = len(texts)
            texts.append("")
        place = self.places[sock]
        if not texts[place].endswith(CLOSED):
            texts[place] += text
        return text

    def stable(self) -> dict[str, list[str]]:
        """What was written, with names in place of the addresses that the system chose."""
        names = {"{}:{}".format(*self.discovery.getsockname()): "DISCOVERY"}
        names |= {address: f"ADDRESS-OF-{backend}" for backend, address in self.addresses.items()}
        return {
            owner: [self.replaced(text, names) for text in texts] for owner, texts in self.written.items()
        }

    @staticmethod
    def replaced(text: str, names: dict[str, str]) -> str:
        for address, name in names.items():
            text = text.replace(address, name)
        return text

    def expect_watch(self, number: int) -> None:
        """Lets time pass until discovery has been asked for so many watches, at most two seconds each."""
        for _ in range(20 * number):
            requests = self.written.get("discovery", [])
            if len(requests) >= number and requests[number - 1].endswith("\r\n\r\n"):
                return
            self.advance(0.1)
        raise AssertionError(self.written)


def entry(name: str, **fields: object) -> dict[str, object]:
    """An entry of discovery's list."""
    return {"name": name, "address": f"@{name}", "zone": "n", "status": "ready", **fields}


def update(index: int, *entries: dict[str, object], snapshot: bool = False) -> str:
    """A line of the list."""
    return json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries})


def watch_from_known(harness: RecordingHarness) -> None:
    """The first watch asks from the version that the configuration holds."""
    harness.list_backends(a="n", b="n")
    harness.expect_watch(1)


def watch_from_nothing(harness: RecordingHarness) -> None:
    """A coordinator that knows no list asks from version 0; the whole list answers."""
    config = harness.config
    harness.config = lambda: {**config(), "known": {"index": 0, "endpoints": []}}
    harness.expect_watch(1)
    harness.accept_watch()
    harness.list_backends(a="n")
    harness.send_list(update(41, entry("a"), snapshot=True))
    harness.expect_logged('"index":41')
    harness.reset_watch()
    harness.expect_watch(2)


def watch_after_gap(harness: RecordingHarness) -> None:
    """A watch that ends is dialled again from the newest version that was told."""
    harness.list_backends(a="n", b="n")
    harness.expect_watch(1)
    harness.accept_watch()
    harness.send_list(update(8, entry("a", status="draining")))
    harness.send_list(update(9, entry("b", weight=0.5)))
    harness.reset_watch()
    harness.expect_watch(2)
    harness.accept_watch()
    harness.send_list(update(5, entry("a", status="gone")))
    harness.expect_logged("stale_endpoint_list")
    harness.reset_watch()
    harness.expect_watch(3)


def watch_after_silence(harness: RecordingHarness) -> None:
    """A watch that brings nothing, not even its empty line, is dialled again."""
    harness.list_backends(a="n")
    harness.expect_watch(1)
    harness.accept_watch()
    harness.send_list(update(12, entry("a")))
    harness.expect_watch(2)


def watch_after_errors(harness: RecordingHarness) -> None:
    """A watch that is answered by an error or by what is no list is dialled again from the same version."""
    harness.list_backends(a="n")
    harness.expect_watch(1)
    harness.send_raw_list("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    harness.expect_watch(2)
    harness.send_raw_list("nonsense\r\n\r\n")
    harness.expect_watch(3)
    harness.accept_watch()
    harness.send_raw_list("4\r\nabc\n\r\n")
    harness.expect_watch(4)
    harness.accept_watch()
    harness.send_raw_list("0\r\n\r\n")
    harness.expect_watch(5)


def watch_after_unreadable_entry(harness: RecordingHarness) -> None:
    """An entry that cannot be read is polled again, from the version before it, until it is readable."""
    harness.list_backends(a="n")
    harness.expect_watch(1)
    harness.accept_watch()
    harness.send_list(update(8, entry("a", weight="much")))
    harness.send_list(update(9, entry("a")))
    for _ in range(12):
        harness.advance(0.1)
    harness.watches[-1].sendall(EMPTY_LINE)
    harness.expect_watch(2)
    harness.accept_watch()
    harness.send_list(update(9, entry("a")))
    harness.reset_watch()
    harness.expect_watch(3)


def watch_after_new_address(harness: RecordingHarness) -> None:
    """A configuration with another address of discovery has the watch dialled there."""
    harness.list_backends(a="n")
    harness.expect_watch(1)
    harness.accept_watch()
    harness.send_list(update(8, entry("a")))
    harness.move_discovery()
    harness.reload()
    harness.expect_watch(2)
    former, latest = harness.written["discovery"]
    harness.written["discovery"] = [former.split("Host: ")[0], latest]  # the former address has no name now


def health_checks(harness: RecordingHarness) -> None:
    """A new backend is asked for its load, whatever it answers."""
    harness.set_settings(health_checks_allowed=True)
    harness.list_backends(a="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.expect_watch(1)
    harness.accept_watch()
    harness.list_backends(c="n", d="n")
    harness.set_health_answer("d", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    harness.send_list(update(9, entry("c"), entry("d")))
    harness.expect_logged('"backend":"c","status":"ok"')
    harness.expect_logged('"backend":"d","status":"full"')
    for owner in ("p", "discovery"):
        del harness.written[owner]
    harness.written = {owner: texts[:1] for owner, texts in sorted(harness.written.items())}


def datagrams(harness: RecordingHarness) -> None:
    """A datagram goes to one peer by its number or to all; one over 256 bytes or to no peer is not sent."""
    harness.set_settings(gossip_allowed=True)
    harness.list_backends(a="n")
    harness.connect("k")
    written = []
    harness.peer.settimeout(5)
    for peer, payload in ((0, "6a"), (-1, "6a6b"), (0, "00ff"), (-1, "ab" * 256)):
        harness.act("send_gossip", peer, payload)
        written.append(harness.peer.recv(1024).hex())
    harness.act("send_gossip", 0, "ab" * 257)
    harness.act("send_gossip", 7, "6b")
    harness.peer.setblocking(False)
    with pytest.raises(BlockingIOError):
        harness.peer.recv(1024)
    harness.written = {"peer": written}


def readiness(harness: RecordingHarness) -> None:
    """A ping is answered on any connection."""
    harness.list_backends(a="n")
    harness.connect("pending")
    harness.expect_pong("pending")
    harness.connect("k")
    harness.say("k", {"type": "collector", "locality": "n"})
    harness.expect_pong("k")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.expect_pong("p")
    harness.written.pop("discovery", None)


JOINING = {"type": "joined", "node": 1, "locality": "n", "w": 1.0, "cold": True}
REFUSED_MESSAGES = {  # none whose reason holds words of a library
    "kind": {"type": "applied", "node": 1, "nonce": 1, "latency": 1.0},
    "zone": {**JOINING, "locality": "x"},
    "proxy": {**JOINING, "node": 4},
    "field": {"type": "joined", "node": 1, "locality": "n", "w": 1.0},
}
REFUSED_FRAMES = {"untyped": "020000007b7d", "length": "01040000"}


def refused_streams(harness: RecordingHarness) -> None:
    """Who does not say who it is as the protocol has it is written the reason, and the connection ends."""
    harness.set_settings(proxies_expected=4)
    harness.list_backends(a="n")
    for name, message in REFUSED_MESSAGES.items():
        harness.connect(name)
        harness.say(name, message)
        harness.expect_closed(name)
    for name, digits in REFUSED_FRAMES.items():
        harness.connect(name)
        harness.send_hex(name, digits)
        harness.expect_closed(name)
    harness.connect("collector")
    harness.say("collector", {"type": "collector"})
    harness.expect_closed("collector")
    harness.connect("silent")
    harness.advance(1.6)
    harness.expect_closed("silent")
    harness.written.pop("discovery", None)


def finished_streams(harness: RecordingHarness) -> None:
    """As the service finishes each connection is written what waits for it, and ends in good order."""
    harness.list_backends(a="n", b="n")
    harness.connect("silent")
    harness.connect("k")
    harness.say("k", {"type": "collector", "locality": "n"})
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.act("set_entry", 0, "a", 2.5)
    harness.service.streams.finish()
    for name in ("p", "k", "silent"):
        harness.expect_closed(name)
    harness.written.pop("discovery", None)


def orders(harness: RecordingHarness) -> None:
    """A joined proxy is written its table, then changes, levels and marks."""
    harness.add_class("look", "read", SECOND, 2)
    harness.add_class("buy", "write", SECOND, 9)
    harness.list_backends(a="n", b="n")
    harness.join_proxy("p", 1, "n")
    harness.expect_received("p", "whole")
    harness.act("set_entry", 0, "a", 2.5)
    harness.expect_received("p", "2.5")
    harness.act("set_entry", 0, "b", 0)
    harness.act("set_admission", 0, 1, 0.75, 2)
    harness.act("request_acknowledgement", 2, True)
    harness.expect_received("p", '"ticket":2')
    harness.expect_pong("p")
    harness.written.pop("discovery", None)


SCENARIOS: list[Callable[[RecordingHarness], None]] = [
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
def test_what_is_written_is_as_recorded(scenario):
    harness = RecordingHarness()
    try:
        scenario(harness)
        written = harness.stable()
    finally:
        harness.close()
    path = FOLDER / f"{scenario.__name__}.json"
    if os.environ.get("GRANITESPOOL_RECORD"):
        path.write_text(json.dumps(written, indent=1) + "\n")
    assert written == json.loads(path.read_text())
