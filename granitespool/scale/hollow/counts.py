"""Messages and bytes by kind, as a coordinator counts them."""

from typing import Literal

import msgspec

ReceivedKind = Literal[
    "ping", "joined", "collector", "heard", "usage", "applied", "other", "unreadable", "list"
]
SentKind = Literal["pong", "update"]


class Traffic(msgspec.Struct):
    """Messages of one kind and their bytes, lengths before the bodies and line ends counted."""

    messages: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        """One more message of so many bytes."""
        self.messages += 1
        self.bytes += size

    def add_all(self, other: "Traffic") -> None:
        """All messages of another count as well."""
        self.messages += other.messages
        self.bytes += other.bytes


class Counts(msgspec.Struct):
    """What one coordinator has received and sent, by kind; empty lines of the watch are not counted.

    `list` is one line of the watch; `update` is one complete message to a proxy, whatever its parts."""

    received: dict[ReceivedKind, Traffic] = msgspec.field(default_factory=dict)
    sent: dict[SentKind, Traffic] = msgspec.field(default_factory=dict)
    watches_ended: int = 0  # watches that ended, and diallings that failed

    def add_received(self, kind: ReceivedKind, size: int) -> None:
        """One more message came, of so many bytes."""
        self.received.setdefault(kind, Traffic()).add(size)

    def add_sent(self, kind: SentKind, size: int) -> None:
        """One more message was written, of so many bytes."""
        self.sent.setdefault(kind, Traffic()).add(size)
