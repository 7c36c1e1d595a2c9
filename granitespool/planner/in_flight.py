"""The account of the control channel: the entries in flight to each proxy.

Everything sent to one proxy in one turn is one message: a header with an acknowledgement barrier, and table
entries. A message leaves the account when the proxy acknowledges its barrier or a later one, when the proxy
leaves, when the channel has passed it, or when it is too old to be still in flight. This module decides
nothing and does no I/O.

The channel sends the messages in order. So an acknowledgement by any proxy proves that the channel has passed
all earlier batches. Their other messages get `ACKNOWLEDGEMENT_TIMEOUT` to be acknowledged. A proxy that is
silent for longer no longer takes capacity that the other proxies need.
"""

from collections import Counter, deque
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from granitespool.settings import Settings
from granitespool.units import SECOND

BARRIER_SEQUENCES = 65536  # barriers are numbered modulo this
DEFAULT_QUEUE_TIME = 2 * SECOND  # ns that a full queue takes, where no rate or no limit is configured
DEFAULT_MESSAGES_SPAN = 10 * SECOND  # ns that the limit on messages to a proxy counts over, where unset
UNLIMITED = 1e9  # entries, or entries a second: a queue or a rate without a limit
# Times of a full queue, at the configured rate, after which a barrier counts as lost. A channel may be ten
# times slower for a while, and entries that it still holds must stay in the account.
LOST_BARRIER_FACTOR = 16
# Share of an empty queue that one order may take. The rest is for a message that was being sent when its
# stream ended: the channel passes it on to its end, but the account has released it.
EMPTY_QUEUE_SHARE = 0.94
# Acknowledgements that the observed rate is averaged over: about half of a coordinator's proxies, since the
# latency of a single stalled proxy says nothing about the channel
RATE_SAMPLES = 64
# ns in which a message that the channel has passed is acknowledged, unless its proxy is silent. A proxy that
# stalls may read a message this much later than others read theirs.
ACKNOWLEDGEMENT_TIMEOUT = 2 * SECOND
# ns for transit and application of a message, beside the time in the queue. It dominates the latencies of
# short queues, so without it a fast channel would look slow.
TRANSIT_TIME = SECOND // 2


class FittingOrders(NamedTuple):
    """How many orders of a sequence fit into the channel, and their entries."""

    order_count: int
    entries: dict[int, float]  # proxy -> entries of these orders, without the message header


class Batch:
    """The messages of one turn, one for each proxy."""

    __slots__ = ("entries", "number", "passed_at", "queued", "reserved_at", "sequence")

    def __init__(self, number: int, sequence: int, reserved_at: int) -> None:
        self.number = number  # of batches before it
        self.sequence = sequence  # number of its acknowledgement barrier
        self.reserved_at = reserved_at  # ns
        # ns; when the channel has passed the whole batch, by acknowledgements, or None if none shows it
        self.passed_at: int | None = None
        self.entries: dict[int, float] = {}  # proxy -> entries of its message, with the header
        self.queued: dict[int, float] = {}  # proxy -> entries in flight once its message was queued


class InFlightAccount:
    """Entries in flight by proxy and batch, and the observed rate of the channel."""

    def __init__(self, settings: Settings) -> None:
        self.in_flight: float = 0  # entries
        self.sequence = 0  # number of the latest barrier
        self._batch_count = 0  # batches since the start
        self._acknowledged_number = -1  # number of the latest batch that any proxy has acknowledged
        self.total_entries: float = 0  # reserved since the start, with the headers
        self._batches: dict[int, Batch] = {}  # sequence -> batch with entries in flight, oldest first
        self._batches_of: dict[int, deque[Batch]] = {}  # proxy -> its batches, oldest first
        self._unreachable: set[int] = set()  # those of these proxies that are unreachable
        self._mean_latency = 0.0  # ns, of acknowledgements
        self._mean_expected_latency = 0.0  # ns, of the same messages at the configured rate
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply the limits of new settings to what is reserved from now on."""
        self.rate = UNLIMITED if settings.entries_per_s is None else settings.entries_per_s
        self.limit = UNLIMITED if settings.backlog_limit is None else settings.backlog_limit
        # Entries that a message costs beside its own: the barrier is one of them
        self.header = 1 + settings.effective_message_header
        messages_max = settings.messages_limit
        span = DEFAULT_MESSAGES_SPAN if settings.messages_span is None else settings.messages_span
        # Minimum time (ns) between messages to a proxy
        self.message_gap = span / messages_max if messages_max else 0
        is_limited = settings.entries_per_s and settings.backlog_limit
        # Time (ns) to send a full queue
        self._full_queue_time = int(SECOND * self.limit / self.rate) if is_limited else DEFAULT_QUEUE_TIME

    @property
    def observed_rate(self) -> float:
        """Entries a second that the channel carries, by the acknowledgements: at most the configured rate."""
        if not self._mean_latency:
            return self.rate
        return self.rate * min(1.0, self._mean_expected_latency / self._mean_latency)

    def oldest_age(self, now: int) -> int:
        """Return the age (ns) of the oldest message in flight; 0 if there is none."""
        oldest = next(iter(self._batches.values()), None)
        return 0 if oldest is None else now - oldest.reserved_at

    def capacity_left(self, share: float, within: float | None = None) -> float:
        """Return the entries that still fit into a share of the queue; negative if more are in flight.

        `within` limits the time (ns) that the queue takes at the observed rate. An empty queue has capacity
        for nearly its whole limit, whatever the share. If all messages in flight are to unreachable proxies,
        the rest of the limit may be used, because only the acknowledgement of a further message can show that
        the channel has passed them.
        """
        if self._unreachable and len(self._unreachable) == len(self._batches_of):
            return self.limit - self.in_flight
        capacity = share * self.limit
        if within is not None:
            capacity = min(capacity, self.observed_rate * within / SECOND)
        if not self.in_flight:
            capacity = max(capacity, EMPTY_QUEUE_SHARE * self.limit)
        return capacity - self.in_flight

    def unacknowledged(self, now: int) -> float:
        """Return the entries in flight that the channel has passed: those of messages to silent proxies."""
        passed_before = now - TRANSIT_TIME
        return sum(
            sum(batch.entries.values())
            for batch in self._batches.values()
            if batch.passed_at is not None and batch.passed_at <= passed_before
        )

    def time_to_send(self, entries: float) -> float:
        """Return the time (ns) to send these entries after those in flight, at the configured rate."""
        return (self.in_flight + entries) / self.rate * SECOND

    def reserve(self, now: int, proxy: int, entries: float) -> bool:
        """Add entries to this turn's message to a proxy; return True if the turn has no barrier yet."""
        batch = self._batches.get(self.sequence)
        is_first = batch is None or batch.reserved_at != now
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
        batch = self._batches[self.sequence] = Batch(self._batch_count, self.sequence, now)
        self._batch_count += 1
        return batch

    def _next_sequences(self) -> Iterator[int]:
        return ((self.sequence + 1 + step) % BARRIER_SEQUENCES for step in range(BARRIER_SEQUENCES))

    def fitting(self, costs: Iterable[Mapping[int, float]], share: float) -> FittingOrders:
        """Return how many of these orders, from the first on, fit into a share of the queue with headers.

        `costs` contains the entries by proxy of each order. An entry that may not be sent counts by its
        probability: reserved in full, entries that are never sent would fill the account.
        """
        remaining = self.capacity_left(share)
        entries: Counter[int] = Counter()
        count = 0
        for cost in costs:
            remaining -= sum(
                self._message_cost(entries[proxy] + added) - self._message_cost(entries[proxy])
                for proxy, added in cost.items()
            )
            if remaining < 0:
                break
            entries.update(cost)
            count += 1
        reserved = {proxy: self._message_cost(number) - self.header for proxy, number in entries.items()}
        return FittingOrders(count, reserved)

    def _message_cost(self, entries: float) -> float:
        return min(1, entries) * (self.header + max(1, entries))

    def acknowledge(self, now: int, proxy: int, sequence: int | None, latency: int | None = None) -> bool:
        """Release the messages up to an acknowledged barrier (None: the oldest); return whether any was."""
        batches = self._batches_of.get(proxy, ())
        batch = next((batch for batch in batches if batch.sequence == sequence), None)
        if not batches or (sequence is not None and batch is None):
            return False
        if batch and latency is not None:
            self._observe_latency(batch, proxy, min(latency, now - batch.reserved_at))
        while self._release_oldest(proxy) not in (sequence, None) and sequence is not None:
            pass
        if batch:
            self._record_passed(now, batch)
            self._release_passed(now)
        return True

    def _record_passed(self, now: int, acknowledged: Batch) -> None:
        """Record that the channel has passed all batches before an acknowledged one."""
        if acknowledged.number < self._acknowledged_number:
            return
        if acknowledged.number > self._acknowledged_number:
            self._acknowledged_number = acknowledged.number
            for batch in self._batches.values():
                if batch.number >= acknowledged.number:
                    break
                batch.passed_at = now if batch.passed_at is None else min(batch.passed_at, now)
        # Of the acknowledged batch itself, the channel may still have the messages that it has not passed
        rest = sum(acknowledged.entries.values())
        acknowledged.passed_at = now + int(SECOND * rest / self.observed_rate)

    def _observe_latency(self, batch: Batch, proxy: int, latency: int) -> None:
        expected = TRANSIT_TIME + batch.queued[proxy] / self.rate * SECOND
        self._mean_latency += (latency - self._mean_latency) / RATE_SAMPLES
        self._mean_expected_latency += (expected - self._mean_expected_latency) / RATE_SAMPLES

    def mark_unreachable(self, proxy: int) -> None:
        """Record that a proxy is unreachable; the channel may still hold messages to it."""
        if proxy in self._batches_of:
            self._unreachable.add(proxy)

    def mark_reachable(self, proxy: int) -> None:
        """Record that a proxy is reachable again, on the same stream."""
        self._unreachable.discard(proxy)

    def release(self, proxy: int) -> None:
        """Release all messages to a proxy that has left."""
        while proxy in self._batches_of:
            self._release_oldest(proxy)

    def expire(self, now: int) -> None:
        """Release messages that the channel has passed or that are too old to be still in flight."""
        self._release_passed(now)
        expired_before = now - LOST_BARRIER_FACTOR * self._full_queue_time
        for batch in [batch for batch in self._batches.values() if batch.reserved_at < expired_before]:
            self._release_batch(batch)

    def _release_passed(self, now: int) -> None:
        """Release messages that were not acknowledged in time after the channel had passed them."""
        passed_before = now - ACKNOWLEDGEMENT_TIMEOUT
        for batch in list(self._batches.values()):
            if batch.passed_at is None or batch.passed_at > passed_before:
                break  # the channel passes the batches in order
            self._release_batch(batch)

    def _release_batch(self, batch: Batch) -> None:
        """Release all messages of the oldest batch in flight."""
        for proxy in list(batch.entries):
            self._release_oldest(proxy)

    def _release_oldest(self, proxy: int) -> int:
        """Release the oldest message to a proxy, and return the number of its barrier."""
        batches = self._batches_of[proxy]
        batch = batches.popleft()
        if not batches:
            del self._batches_of[proxy]
            self._unreachable.discard(proxy)
        self.in_flight -= batch.entries.pop(proxy)
        if not batch.entries:
            del self._batches[batch.sequence]
            self.in_flight = self.in_flight if self._batches else 0  # drops the rounding error
        return batch.sequence
