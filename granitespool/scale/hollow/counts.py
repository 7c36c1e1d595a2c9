"""Counts of messages and bytes by kind."""

from typing import Literal

import msgspec

ReceivedKind = Literal[
    "ping", "joined", "collector", "heard", "usage", "applied", "other", "unreadable", "list"
]
SentKind = Literal["pong", "update"]


class Traffic(msgspec.Struct):
    """Messages of one kind and their bytes, including length prefixes and line ends."""

    messages: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        """Count one message of `size` bytes."""
        self.messages += 1
        self.bytes += size

    def add_all(self, other: "Traffic") -> None:
        """Add the messages and bytes of another count."""
        self.messages += other.messages
        self.bytes += other.bytes


class Counts(msgspec.Struct):
    """The messages that one coordinator has received and sent, by kind.

    Empty lines of the watch are not counted. `list` is one line of the watch, `update` one complete message
    to a proxy, whatever the number of its parts.
    """

    received: dict[ReceivedKind, Traffic] = msgspec.field(default_factory=dict)
    sent: dict[SentKind, Traffic] = msgspec.field(default_factory=dict)
    watches_ended: int = 0  # watches that ended, and failed attempts to connect

    def add_received(self, kind: ReceivedKind, size: int) -> None:
        """Count one received message of `size` bytes."""
        self.received.setdefault(kind, Traffic()).add(size)

    def add_sent(self, kind: SentKind, size: int) -> None:
        """Count one sent message of `size` bytes."""
        self.sent.setdefault(kind, Traffic()).add(size)
