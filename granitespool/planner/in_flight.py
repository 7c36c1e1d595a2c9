"""The account of the control channel: what was sent to each proxy and may still be on its way.

What is sent to one proxy in one turn is a message: a header with an acknowledgement barrier, and its table
entries. A message leaves the account once the proxy acknowledges its barrier or a later one, or has left, or
once it is too old to be on its way still. Counting alone: no decision, no I/O.
"""

from collections import Counter, deque
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from granitespool.settings import Settings
from granitespool.units import SECOND

BARRIER_SEQUENCES = 65536  # barriers are numbered from 0 up to this less 1
UNKNOWN_DRAIN_TIME = 2 * SECOND  # ns that a full queue takes where no rate or no limit is configured
UNKNOWN_MESSAGES_SPAN = 10 * SECOND  # ns that messages to a proxy are counted over where it is not configured
UNLIMITED = 1e9  # entries: stands for a queue, or a rate, without a limit
LOST_BARRIER_FACTOR = 16  # full queues at the configured rate after which a barrier counts as lost: a channel
#                           may be ten times slower for a while, and what it holds must not be forgotten
EMPTY_QUEUE_SHARE = 0.94  # share of an empty queue that one order may take: what was just being sent on a
#                           stream that left is passed on to its end, and is counted here no more
RATE_SAMPLES = 64  # acknowledgements that the observed rate is a mean of: about half of a coordinator's
#                    proxies, since one that stands still tells nothing of the channel
TRANSIT_TIME = SECOND // 2  # ns that a message may be on its way, and applied, beyond the queue: latencies of
#                             short queues are mostly that, and no channel counts as slow for it


class FittingOrders(NamedTuple):
    """How many of some orders fit into the channel in a row."""

    orders: int  # how many fit
    entries: dict[int, float]  # proxy -> entries of them, the message's header not with them


class Batch:
    """The messages of one turn."""

    __slots__ = ("at", "entries", "queued", "sequence")

    def __init__(self, sequence: int, at: int) -> None:
        self.sequence = sequence  # of its acknowledgement barrier
        self.at = at  # ns
        self.entries: dict[int, float] = {}  # proxy -> entries of its message, the header with them
        self.queued: dict[int, float] = {}  # proxy -> entries of its message and all queued before it


class InFlightAccount:
    """Entries in flight by proxy and batch, and the rate that the channel was observed to carry."""

    def __init__(self, settings: Settings) -> None:
        self.in_flight: float = 0  # entries
        self.sequence = 0  # of the latest barrier
        self.total_entries: float = 0  # reserved since the start, headers with them
        self._batches: dict[int, Batch] = {}  # sequence -> Batch, oldest first, while any entry is in flight
        self._batches_of: dict[int, deque[Batch]] = {}  # proxy -> its batches, oldest first
        self._mean_latency = 0.0  # ns that messages took
        self._mean_expected_latency = 0.0  # ns that they would have taken at the configured rate
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Limits for what is reserved from now on."""
        self.rate = UNLIMITED if settings.entries_per_s is None else settings.entries_per_s
        self.limit = UNLIMITED if settings.backlog_limit is None else settings.backlog_limit
        self.header = (
            1 + settings.effective_message_header
        )  # entries that a message costs beside its own: the barrier
        most = settings.messages_limit
        span = UNKNOWN_MESSAGES_SPAN if settings.messages_span is None else settings.messages_span
        self.message_gap = span / most if most else 0  # ns between messages to a proxy, by their cap
        is_limited = settings.entries_per_s and settings.backlog_limit
        # ns that a full queue takes
        self._drain_time = int(SECOND * self.limit / self.rate) if is_limited else UNKNOWN_DRAIN_TIME

    @property
    def observed_rate(self) -> float:
        """Entries a second that the channel carries, by the acknowledgements: at most the configured rate."""
        if not self._mean_latency:
            return self.rate
        return self.rate * min(1.0, self._mean_expected_latency / self._mean_latency)

    def capacity_left(self, share: float, within: float | None = None) -> float:
        """Entries that still fit into this share of the queue.

        `within`: ns that they may take to leave, at the observed rate. An empty queue takes nearly all,
        whatever the share. Below 0 where more is in flight.
        """
        most = share * self.limit
        if within is not None:
            most = min(most, self.observed_rate * within / SECOND)
        if not self.in_flight:
            most = max(most, EMPTY_QUEUE_SHARE * self.limit)
        return most - self.in_flight

    def time_to_send(self, entries: float) -> float:
        """ns until these entries have left as well, at the configured rate."""
        return (self.in_flight + entries) / self.rate * SECOND

    def reserve(self, now: int, proxy: int, entries: float) -> bool:
        """Add entries to this turn's message to a proxy; True where the turn has no barrier yet."""
        batch = self._batches.get(self.sequence)
        is_first = batch is None or batch.at != now
        if batch is None or is_first:
            batch = self._new_batch(now)
        if proxy not in batch.entries:
            batch.entries[proxy] = 0
            self._batches_of.setdefault(proxy, deque()).append(batch)
            entries += self.header
        batch.entries[proxy] += entries
        self.total_entries += entries
        self.in_flight += entries
        batch.queued[proxy] = self.in_flight
        return is_first

    def _new_batch(self, now: int) -> Batch:
        self.sequence = next(number for number in self._next_sequences() if number not in self._batches)
        batch = self._batches[self.sequence] = Batch(self.sequence, now)
        return batch

    def _next_sequences(self) -> Iterator[int]:
        return ((self.sequence + 1 + step) % BARRIER_SEQUENCES for step in range(BARRIER_SEQUENCES))

    def fitting(self, costs: Iterable[Mapping[int, float]], share: float) -> FittingOrders:
        """How many of these orders, in a row, fit into a share of the queue with their headers.

        `costs`: entries by proxy of each order. They may be parts of one, as likely as they are sent:
        reserved in full, what is never sent would fill the account.
        """
        left = self.capacity_left(share)
        entries: Counter[int] = Counter()
        count = 0
        for cost in costs:
            left -= sum(
                self._message_cost(entries[proxy] + more) - self._message_cost(entries[proxy])
                for proxy, more in cost.items()
            )
            if left < 0:
                break
            entries.update(cost)
            count += 1
        reserved = {proxy: self._message_cost(number) - self.header for proxy, number in entries.items()}
        return FittingOrders(count, reserved)

    def _message_cost(self, entries: float) -> float:
        return min(1, entries) * (self.header + max(1, entries))

    def acknowledge(self, now: int, proxy: int, sequence: int | None, latency: int | None = None) -> bool:
        """A proxy has applied all up to this barrier, or at least its oldest (None); True if any was open."""
        batches = self._batches_of.get(proxy, ())
        batch = next((batch for batch in batches if batch.sequence == sequence), None)
        if not batches or (sequence is not None and batch is None):
            return False
        if batch and latency is not None:
            self._observe_latency(batch, proxy, min(latency, now - batch.at))
        while self._release_oldest(proxy) not in (sequence, None) and sequence is not None:
            pass
        return True

    def _observe_latency(self, batch: Batch, proxy: int, latency: int) -> None:
        expected = TRANSIT_TIME + batch.queued[proxy] / self.rate * SECOND
        self._mean_latency += (latency - self._mean_latency) / RATE_SAMPLES
        self._mean_expected_latency += (expected - self._mean_expected_latency) / RATE_SAMPLES

    def release(self, proxy: int) -> None:
        """A proxy has left: nothing is on its way to it."""
        while proxy in self._batches_of:
            self._release_oldest(proxy)

    def expire(self, now: int) -> None:
        """Release what is too old to be on its way still."""
        before = now - LOST_BARRIER_FACTOR * self._drain_time
        for batch in [batch for batch in self._batches.values() if batch.at < before]:
            for proxy in list(batch.entries):
                self._release_oldest(proxy)

    def _release_oldest(self, proxy: int) -> int:
        """Release the oldest message to a proxy; returns its barrier's sequence number."""
        batches = self._batches_of[proxy]
        batch = batches.popleft()
        if not batches:
            del self._batches_of[proxy]
        self.in_flight -= batch.entries.pop(proxy)
        if not batch.entries:
            del self._batches[batch.sequence]
            self.in_flight = self.in_flight if self._batches else 0  # no rounding error is carried on
        return batch.sequence
