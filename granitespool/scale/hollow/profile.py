"""The profile of the messages that a coordinator writes to its proxies: rates and sizes by kind.

A profile is measured from a real coordinator (`measurement`) and replayed by hollow ones. Sizes are bytes of
a message's parts with their length prefixes; None means that no message was written.
"""

import msgspec

from granitespool.units import SECOND

Parts = tuple[int, ...]


class MessageProfile(msgspec.Struct, frozen=True, kw_only=True):
    """The messages of one kind in the order of their occasions, replayed in a loop.

    An occasion is an event that may cause a message to one proxy: the proxy joins, or the endpoint list
    changes. An occasion without a message is None.
    """

    occasions: tuple[Parts | None, ...] = ()

    @property
    def rate(self) -> float:
        """Messages per occasion."""
        written = sum(parts is not None for parts in self.occasions)
        return written / len(self.occasions) if self.occasions else 0.0

    def parts(self, occasion: int) -> Parts | None:
        """Return the parts of the message of this occasion (counted from 0); None: no message."""
        return self.occasions[occasion % len(self.occasions)] if self.occasions else None


class Flush(msgspec.Struct, frozen=True, kw_only=True):
    """The messages that a coordinator wrote at one time without a join or a change of the endpoint list."""

    offset: int  # ns after the first proxy joined
    messages: tuple[Parts | None, ...]  # of the proxies in order of joining


class RefreshProfile(msgspec.Struct, frozen=True, kw_only=True):
    """The flushes of a measured period, which are replayed in a loop."""

    period: int = 0  # ns from the first joined proxy to the end of the measurement
    proxy_time: int = 0  # ns of the period, summed over joined proxies
    flushes: tuple[Flush, ...] = ()

    @property
    def rate(self) -> float:
        """Messages a second to one proxy."""
        written = sum(parts is not None for flush in self.flushes for parts in flush.messages)
        return written * SECOND / self.proxy_time if self.proxy_time else 0.0

    def due(self, number: int) -> int:
        """Return when this flush (counted from 0) is due, in ns after the first joined proxy."""
        rounds, position = divmod(number, len(self.flushes))
        return rounds * self.period + self.flushes[position].offset

    def parts(self, number: int, position: int) -> Parts | None:
        """Return the parts of this flush's message to the proxy at this position; None: no message."""
        messages = self.flushes[number % len(self.flushes)].messages
        return messages[position % len(messages)]


class Profile(msgspec.Struct, frozen=True, kw_only=True):
    """All messages that a coordinator writes to its proxies."""

    joining: MessageProfile = MessageProfile()  # first tables, sent to joining proxies
    change: MessageProfile = MessageProfile()  # updates after a change of the endpoint list
    refresh: RefreshProfile = RefreshProfile()
