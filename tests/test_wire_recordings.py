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
import stage
from stage import EPOCH, Sockets

FOLDER = pathlib.Path(__file__).parent / "data" / "wire"
EMPTY_LINE = "1\r\n\n\r\n"
END = "<end>"


class RecordingSockets(Sockets):
    """A service on loopback that notes what each of its connections was written."""

    def __init__(self) -> None:
        super().__init__()
        self.written: dict[str, list[str]] = {}  # whose connection -> a text for each, in order
        self.streams: dict[socket.socket, tuple[str, int]] = {}  # whose it is, its place among these

    def note(self, sock, text: str) -> str:
        """Adds what was just read from a connection of the service to its record."""
        if sock not in self.streams:
            owner = self.owner_of(sock)
            texts = self.written.setdefault(owner, [])
            texts.append("")
            self.streams[sock] = owner, len(texts) - 1
        owner, place = self.streams[sock]
        if not self.written[owner][place].endswith(END):
            self.written[owner][place] += text
        return text

    def owner_of(self, sock) -> str:
        """The party that holds this end of a connection."""
        if sock in self.watches:
            return "discovery"
        for probing, backend in self.probing:
            if probing is sock:
                return backend
        return next(name for name, party in self.parties.items() if party is sock)

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

    def steps(self, text: str) -> None:
        """Plays the steps of a scenario, one a line or split by `; `."""
        for line in text.strip().splitlines():
            for step in line.split("; "):
                self.play(step)

    def dialled(self, number: int) -> None:
        """Lets time pass until discovery has been asked for so many watches, at most two seconds each."""
        for _ in range(20 * number):
            requests = self.written.get("discovery", [])
            if len(requests) >= number and requests[number - 1].endswith("\r\n\r\n"):
                return
            self.do_at(f"{(self.now - EPOCH) / 1e9 + 0.1:.3f}s")
        raise AssertionError(self.written)


def entry(name: str, **fields: object) -> dict[str, object]:
    """An entry of discovery's list."""
    return {"name": name, "address": f"@{name}", "zone": "n", "status": "ready", **fields}


def news(index: int, *entries: dict[str, object], snapshot: bool = False) -> str:
    """The step that has discovery send a line of the list."""
    return "news " + json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries})


def watch_from_known(played: RecordingSockets) -> None:
    """The first watch asks from the version that the configuration holds."""
    played.steps("known a:n b:n")
    played.dialled(1)


def watch_from_nothing(played: RecordingSockets) -> None:
    """A coordinator that knows no list asks from version 0; the whole list answers."""
    config = played.config
    played.config = lambda: {**config(), "known": {"index": 0, "endpoints": []}}
    played.dialled(1)
    played.steps("grants\nknown a:n")
    played.play(news(41, entry("a"), snapshot=True))
    played.play('logged "index":41')
    played.play("breaks")
    played.dialled(2)


def watch_after_gap(played: RecordingSockets) -> None:
    """A watch that ends is dialled again from the newest version that was told."""
    played.steps("known a:n b:n")
    played.dialled(1)
    played.steps("grants")
    played.play(news(8, entry("a", status="draining")))
    played.play(news(9, entry("b", weight=0.5)))
    played.play("breaks")
    played.dialled(2)
    played.steps("grants")
    played.play(news(5, entry("a", status="gone")))
    played.play("logged stale_endpoint_list")
    played.play("breaks")
    played.dialled(3)


def watch_after_silence(played: RecordingSockets) -> None:
    """A watch that brings nothing, not even its empty line, is dialled again."""
    played.steps("known a:n")
    played.dialled(1)
    played.steps("grants")
    played.play(news(12, entry("a")))
    played.dialled(2)


def watch_after_errors(played: RecordingSockets) -> None:
    """A watch that is answered by an error or by what is no list is dialled again from the same version."""
    played.steps("known a:n")
    played.dialled(1)
    played.play("tells HTTP/1.1 503 Busy\\r\\nContent-Length: 0\\r\\n\\r\\n")
    played.dialled(2)
    played.play("tells nonsense\\r\\n\\r\\n")
    played.dialled(3)
    played.steps("grants\ntells 4\\r\\nabc\\n\\r\\n")
    played.dialled(4)
    played.steps("grants\ntells 0\\r\\n\\r\\n")
    played.dialled(5)


def watch_after_unreadable_entry(played: RecordingSockets) -> None:
    """An entry that cannot be read is asked for again, from the version before it, until it is readable."""
    played.steps("known a:n")
    played.dialled(1)
    played.steps("grants")
    played.play(news(8, entry("a", weight="much")))
    played.play(news(9, entry("a")))
    for _ in range(12):
        played.do_at(f"{(played.now - EPOCH) / 1e9 + 0.1:.3f}s")
    played.watches[-1].sendall(EMPTY_LINE.encode())
    played.dialled(2)
    played.steps("grants")
    played.play(news(9, entry("a")))
    played.play("breaks")
    played.dialled(3)


def watch_after_new_address(played: RecordingSockets) -> None:
    """A configuration with another address of discovery has the watch dialled there."""
    played.steps("known a:n")
    played.dialled(1)
    played.steps("grants")
    played.play(news(8, entry("a")))
    played.steps("moves\nreload")
    played.dialled(2)
    former, latest = played.written["discovery"]
    played.written["discovery"] = [former.split("Host: ")[0], latest]  # the former address has no name now


def health_checks(played: RecordingSockets) -> None:
    """A new backend is asked for its load, whatever it answers."""
    played.steps("set health_checks_allowed=true\nknown a:n\njoins p 1 n\ngets p whole")
    played.dialled(1)
    played.steps("grants\nknown c:n d:n")
    played.play("answers d HTTP/1.1 503 Busy\\r\\nContent-Length: 0\\r\\n\\r\\n")
    played.play(news(9, entry("c"), entry("d")))
    played.steps('logged "backend":"c","status":"ok"\nlogged "backend":"d","status":"full"')
    for owner in ("p", "discovery"):
        del played.written[owner]
    played.written = {owner: texts[:1] for owner, texts in sorted(played.written.items())}


def datagrams(played: RecordingSockets) -> None:
    """A datagram goes to one peer by its number or to all; one over 256 bytes or to no peer is not sent."""
    played.steps("set gossip_allowed=true\nknown a:n\nopen k")
    written = []
    played.peer.settimeout(5)
    for step in ("host post 0 6a", "host post -1 6a6b", "host post 0 00ff", f"host post -1 {'ab' * 256}"):
        played.play(step)
        written.append(played.peer.recv(1024).hex())
    played.steps(f"host post 0 {'ab' * 257}\nhost post 7 6b")
    played.peer.setblocking(False)
    with pytest.raises(BlockingIOError):
        played.peer.recv(1024)
    played.written = {"peer": written}


def readiness(played: RecordingSockets) -> None:
    """A ping is answered on any connection."""
    played.steps("known a:n\nopen pending\nalive pending\nopen k")
    played.steps('say k {"type":"collector","locality":"n"}\nalive k')
    played.steps("joins p 1 n\ngets p whole\nalive p")
    played.written.pop("discovery", None)


REFUSED_FIRST_MESSAGES = {  # none whose reason holds words of a library
    "kind": 'say kind {"type":"applied","node":1,"nonce":1,"latency":1.0}',
    "zone": 'say zone {"type":"joined","node":1,"locality":"x","w":1.0,"cold":true}',
    "proxy": 'say proxy {"type":"joined","node":4,"locality":"n","w":1.0,"cold":true}',
    "field": 'say field {"type":"joined","node":1,"locality":"n","w":1.0}',
    "untyped": "raw untyped 020000007b7d",
    "length": "raw length 01040000",
    "collector": 'say collector {"type":"collector"}',
}


def refused_streams(played: RecordingSockets) -> None:
    """Who does not say who it is as the protocol has it is written the reason, and the connection ends."""
    played.steps("set proxies_expected=4\nknown a:n")
    for name, step in REFUSED_FIRST_MESSAGES.items():
        played.steps(f"open {name}\n{step}\nended {name}")
    played.play("open silent")
    played.do_at(f"{(played.now - EPOCH) / 1e9 + 1.6:.3f}s")
    played.play("ended silent")
    played.written.pop("discovery", None)


def finished_streams(played: RecordingSockets) -> None:
    """As the service finishes each connection is written what waits for it, and ends in good order."""
    played.steps("known a:n b:n\nopen silent\nopen k")
    played.steps('say k {"type":"collector","locality":"n"}\njoins p 1 n\ngets p whole\nhost weigh 0 a 2.5')
    played.service.streams.finish()
    played.steps("ended p\nended k\nended silent")
    played.written.pop("discovery", None)


def orders(played: RecordingSockets) -> None:
    """A joined proxy is written its table, then changes, levels and marks."""
    played.steps("class look read 1s 2\nclass buy write 1s 9\nknown a:n b:n\njoins p 1 n\ngets p whole")
    played.steps("host weigh 0 a 2.5\ngets p 2.5\nhost weigh 0 b 0\nhost level 0 1 0.75 2\nhost mark 2 true")
    played.steps('gets p "ticket":2\nalive p')
    played.written.pop("discovery", None)


SCENARIOS: list[Callable[[RecordingSockets], None]] = [
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
def test_what_is_written_is_as_recorded(monkeypatch, scenario):
    played = RecordingSockets()
    received = stage.received
    monkeypatch.setattr(stage, "received", lambda sock: played.note(sock, received(sock)))
    try:
        scenario(played)
        written = played.stable()
    finally:
        played.end()
    path = FOLDER / f"{scenario.__name__}.json"
    if os.environ.get("GRANITESPOOL_RECORD"):
        path.write_text(json.dumps(written, indent=1) + "\n")
    assert written == json.loads(path.read_text())
