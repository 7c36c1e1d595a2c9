"""What a coordinator writes to its proxies: for each kind of message a rate and sizes.

A profile is measured from a real coordinator (`measurement`) and played by hollow ones. Sizes are bytes of a
message's parts, the length before each counted; None stands for an occasion that brought no message."""

import msgspec

from granitespool.units import SECOND

Parts = tuple[int, ...]


class MessageProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Messages of one kind: what each occasion brought, in order; played round and round.

    An occasion is a joining, or a change of the list for one proxy."""

    occasions: tuple[Parts | None, ...] = ()

    @property
    def rate(self) -> float:
        """Messages an occasion."""
        written = sum(parts is not None for parts in self.occasions)
        return written / len(self.occasions) if self.occasions else 0.0

    def parts(self, occasion: int) -> Parts | None:
        """The parts that this occasion (counted from 0) brings; None: no message."""
        return self.occasions[occasion % len(self.occasions)] if self.occasions else None


class Flush(msgspec.Struct, frozen=True, kw_only=True):
    """One time at which a coordinator wrote its proxies what had changed with time."""

    offset: int  # ns after the first joining
    messages: tuple[Parts | None, ...]  # by proxies in order of joining


class RefreshProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Messages that come without a joining or a change of the list: by time alone, played round and round."""

    period: int = 0  # ns that the flushes are of
    proxy_time: int = 0  # ns of the period, summed over joined proxies
    flushes: tuple[Flush, ...] = ()

    @property
    def rate(self) -> float:
        """Messages a second to one proxy."""
        written = sum(parts is not None for flush in self.flushes for parts in flush.messages)
        return written * SECOND / self.proxy_time if self.proxy_time else 0.0

    def due(self, number: int) -> int:
        """When this flush (counted from 0) is due, in ns after the first joining."""
        rounds, position = divmod(number, len(self.flushes))
        return rounds * self.period + self.flushes[position].offset

    def parts(self, number: int, position: int) -> Parts | None:
        """The parts that this flush brings to the proxy at this position; None: no message."""
        messages = self.flushes[number % len(self.flushes)].messages
        return messages[position % len(messages)]


class Profile(msgspec.Struct, frozen=True, kw_only=True):
    """All that a coordinator writes to its proxies."""

    joining: MessageProfile = MessageProfile()  # the first table; an occasion is a joining
    change: MessageProfile = MessageProfile()  # after the list changed; an occasion is a change and a proxy
    refresh: RefreshProfile = RefreshProfile()
