"""Publication: which candidate updates are sent now, within the budget of the channel.

A complete pass, over all backends, runs each period and after each change of the endpoint list. A pass over
one backend runs after a report that changes its state at once. Each pass selects the candidates, publishes
those that the channel has capacity for, in order of priority, and schedules another pass if any was deferred.
"""

from collections import defaultdict

from granitespool.planner.actions import PlannerActions
from granitespool.planner.admission import AdmissionControl
from granitespool.planner.assignment import ProxyAssignment
from granitespool.planner.budget import (
    JOINING_QUEUE_SHARE,
    MANDATORY_QUEUE_SHARE,
    ORDINARY_QUEUE_SHARE,
    ChannelBudget,
)
from granitespool.planner.candidates import Candidate, CandidateSelection
from granitespool.planner.cost import CostTable
from granitespool.planner.dirty_set import DirtySet
from granitespool.planner.exclusion import ExclusionControl
from granitespool.planner.fleet import RECOMPUTATION_PERIOD
from granitespool.planner.outbox import EntryKind, Outbox
from granitespool.planner.records import Backend
from granitespool.planner.slow_start import SlowStart
from granitespool.planner.tables import TableDirectory
from granitespool.planner.timers import Timer
from granitespool.units import SECOND

MESSAGE_GAP_FACTOR = 1.25  # of the minimum gap that keeps the messages to a proxy within their limit
HEADER_RATE_SHARE = 0.15  # share of the channel's rate for headers: sets the gap between complete passes
# A message to the subscribers of a table is cheap if they are at most this fraction (one in 8) of all proxies
FEW_SUBSCRIBERS_DIVISOR = 8
DEFERRED_GAP_DIVISOR = 4  # shortens the gap after a pass in which an update had tokens but no capacity
RESCHEDULE_DELAY_MIN = RECOMPUTATION_PERIOD // 4  # ns


class PublicationPass:
    """The limits and the progress of one pass."""

    def __init__(self, now: int, only: Backend | None, is_merging: bool, is_deferring: bool) -> None:
        self.now = now
        self.only = only
        self.is_merging = is_merging  # its updates join messages of this turn, without further headers
        self.is_deferring = is_deferring  # updates that are not mandatory wait for the next complete pass
        self.updated_tables: set[int] = set()  # tables that this pass has published updates of
        # table -> entries of its mandatory updates in one message to each recipient, with the headers
        self.mandatory_entries: dict[int, float] = {}
        self.mandatory_entries_max = 0.0  # entries that fit once the queue has sent what is in flight
        self.few_subscribers = 0  # a table with at most this many gets urgent updates also while deferring
        self.queue_share = 0.0  # share of the queue that updates may fill, unless mandatory
        self.is_congested = False  # the mandatory updates exceed the capacity, mostly with headers
        self.has_deferred = False  # an update waits for the next complete pass
        self.gap_divisor = 1

    @property
    def is_complete(self) -> bool:
        """Whether the pass covers all backends."""
        return self.only is None


class Publisher:
    """Runs the publication passes and enforces the gaps between them."""

    def __init__(
        self,
        actions: PlannerActions,
        budget: ChannelBudget,
        selection: CandidateSelection,
        tables: TableDirectory,
        dirty: DirtySet,
        costs: CostTable,
        slow_start: SlowStart,
        assignment: ProxyAssignment,
        exclusion: ExclusionControl,
        admission: AdmissionControl,
        outbox: Outbox,
    ) -> None:
        self._actions = actions
        self._budget = budget
        self._selection = selection
        self._tables = tables
        self._dirty = dirty
        self._costs = costs
        self._slow_start = slow_start
        self._assignment = assignment
        self._exclusion = exclusion
        self._admission = admission
        self._outbox = outbox
        self.next_message_at = 0  # ns; earliest time by the limit on messages to a proxy
        self.next_complete_pass_at = 0  # ns; deferred updates wait until then
        self.has_deferred = False  # an update waits for the next complete pass
        self._published_at = -1  # ns
        self._scheduled_at = 0  # ns, of the current timer; 0: none

    def publish(self, now: int, only: Backend | None = None) -> None:
        """Run a pass over one backend, or over all (None), or schedule it if it is too early."""
        is_merging = now == self._published_at
        is_too_early = now < self.next_message_at and not is_merging
        if is_too_early or (only is not None and self._budget.is_mandatory_waiting):
            self._schedule(now, self.next_message_at)
            return
        is_deferring = now < self.next_complete_pass_at and not is_merging
        self._run(PublicationPass(now, only, is_merging, is_deferring))

    def is_due(self, now: int) -> bool:
        """Return whether the expired timer is the scheduled one, and not one replaced by an earlier timer."""
        if now < self._scheduled_at:
            return False
        self._scheduled_at = 0
        return True

    def _run(self, current: PublicationPass) -> None:
        sequence_before = self._budget.account.sequence
        self._budget.is_mandatory_waiting = False
        if current.is_complete:
            self._publish_exclusions(current.now)
        candidates = self._selection.select(current.now, current.only)
        if candidates and candidates[0].is_mandatory:
            self._assign_before(current.now, candidates[0].due_since)
        if candidates:
            self._set_limits(current, candidates)
        for candidate in candidates:
            self._publish_or_defer(current, candidate)
        if current.is_complete:
            self._mark_clean(current.now)
            self._publish_exclusions(current.now)
            if not current.is_deferring:
                self._admission.publish(current.now)
        self._finish(current, self._budget.account.sequence != sequence_before)

    def _publish_exclusions(self, now: int) -> None:
        self._exclusion.publish(now, self._admission.entries_max)

    def _assign_before(self, now: int, drained_at: int) -> None:
        """Assign proxies that may still use a backend which drained before the oldest drain to be published.

        They are due first. All others are due no earlier than the drain, and assigning them would delay it.
        """
        outstanding_since = self._exclusion.outstanding_since()
        if outstanding_since is not None and outstanding_since < drained_at:
            self._assignment.assign_next(now, drained_at)

    def _set_limits(self, current: PublicationPass, candidates: list[Candidate]) -> None:
        """Set the limits of a pass from the capacity of the channel and the mandatory updates."""
        account = self._budget.account
        if account.capacity_left(1, RECOMPUTATION_PERIOD // 4) > 0:
            current.few_subscribers = len(self._assignment.proxies) // FEW_SUBSCRIBERS_DIVISOR
        if self._budget.is_mandatory_waiting:
            current.queue_share = 0  # other updates would use the freed capacity and prolong the congestion
        elif self._assignment.unassigned or self._tables.partial:
            current.queue_share = JOINING_QUEUE_SHARE
        else:
            current.queue_share = ORDINARY_QUEUE_SHARE
        mandatory_entries = self._count_mandatory(current, candidates)
        if mandatory_entries:
            unacknowledged = account.unacknowledged(current.now)
            current.mandatory_entries_max = MANDATORY_QUEUE_SHARE * account.limit - unacknowledged
        current.is_congested = (
            account.capacity_left(MANDATORY_QUEUE_SHARE) < mandatory_entries / 2
            and account.capacity_left(ORDINARY_QUEUE_SHARE) < 0
        )

    def _count_mandatory(self, current: PublicationPass, candidates: list[Candidate]) -> int:
        """Set the mandatory entries of each table; return the number of all without the headers."""
        names: defaultdict[int, list[str]] = defaultdict(list)
        for candidate in candidates:
            if candidate.is_mandatory:
                names[candidate.table].append(candidate.backend.name)
        total = 0
        for table, backends in names.items():
            entries_by_proxy = self._tables.entries_by_recipient(table, backends)
            entries = sum(entries_by_proxy.values())
            headers = self._budget.account.header * len(entries_by_proxy)
            current.mandatory_entries[table] = entries + headers
            total += entries
        return total

    def _publish_or_defer(self, current: PublicationPass, candidate: Candidate) -> None:
        """Publish a candidate if it is not deferred and the channel has capacity."""
        readmitted = self._readmitted(candidate)
        cost = self._cost(current, candidate, len(readmitted))
        if self._is_deferred(current, candidate):
            current.has_deferred = True
            return
        required = max(cost, self._entries_sent_together(current, candidate))
        if required > max(0, self._capacity_for(current, candidate)) or self._exceeds_tokens(candidate, cost):
            if candidate.is_mandatory:
                self._budget.is_mandatory_waiting = True
            if self._budget.tokens > cost and not self._assignment.unassigned:
                current.gap_divisor = DEFERRED_GAP_DIVISOR
            return
        if candidate.is_ordinary:
            self._budget.tokens -= cost
        current.updated_tables.add(candidate.table)
        self._send(current.now, candidate, readmitted)

    def _readmitted(self, candidate: Candidate) -> dict[int, int]:
        """Return the entries, by proxy, that readmit the candidate's backend."""
        if not candidate.adds_entry:
            return {}
        name = candidate.backend.name
        recipients = self._tables.recipients(candidate.table, name)
        return dict(self._actions.readmission_cost(recipients, candidate.table, name))

    def _cost(self, current: PublicationPass, candidate: Candidate, readmitted: int) -> float:
        """Return the entries that a candidate costs, with the headers of messages that it starts."""
        per_subscriber: float = 1
        if candidate.table not in current.updated_tables:
            per_subscriber += self._budget.account.header
        recipients = self._tables.recipients(candidate.table, candidate.backend.name)
        replacements = 0
        if self._tables.partial and not candidate.weight:
            replacements = sum(
                self._outbox.replacement_cost(current.now, proxy, candidate.table)
                for proxy in recipients
                if self._tables.would_empty(proxy, candidate.backend.name)
            )
        return readmitted + len(recipients) * per_subscriber + replacements

    def _entries_sent_together(self, current: PublicationPass, candidate: Candidate) -> float:
        """Return the entries of the mandatory updates that wait for each other, if the queue can hold them.

        Those of a table share a message to each subscriber. Published one by one, as soon as each fits, they
        would cost a header each and delay the last one.
        """
        if not candidate.is_mandatory or candidate.table in current.updated_tables:
            return 0
        entries = current.mandatory_entries[candidate.table]
        return entries if entries <= current.mandatory_entries_max else 0

    def _is_deferred(self, current: PublicationPass, candidate: Candidate) -> bool:
        """Return whether a candidate waits for the next complete pass.

        Mandatory updates do not, nor do urgent ones that are cheap: of a table with few subscribers, or with
        a message in this pass.
        """
        if candidate.is_mandatory or not current.is_deferring:
            return False
        if candidate.is_ordinary:
            return True
        subscribers = len(self._tables.subscribers[candidate.table])
        return candidate.table not in current.updated_tables and subscribers > current.few_subscribers

    def _capacity_for(self, current: PublicationPass, candidate: Candidate) -> float:
        account = self._budget.account
        if not candidate.is_mandatory:
            return account.capacity_left(current.queue_share, self._budget.publication_lag)
        return account.capacity_left(0 if current.is_congested else MANDATORY_QUEUE_SHARE)

    def _exceeds_tokens(self, candidate: Candidate, cost: float) -> bool:
        return candidate.is_ordinary and cost > self._budget.tokens

    def _send(self, now: int, candidate: Candidate, readmitted: dict[int, int]) -> None:
        backend, table, weight = candidate.backend, candidate.table, candidate.weight
        kind = EntryKind.MANDATORY if candidate.is_mandatory else EntryKind.CHANGE
        self._outbox.set_entry(now, table, backend.name, weight, kind, readmitted)
        self._tables.entry_counts[table] += bool(weight) - bool(backend.published.get(table))
        self._dirty.record_published(backend, table, weight)

    def _mark_clean(self, now: int) -> None:
        has_zone_mean = self._costs.has_zone_mean
        self._dirty.mark_clean(
            lambda backend: (
                (backend.costs_evaluated or not has_zone_mean) and self._slow_start.is_warm(now, backend)
            ),
            lambda since: self._slow_start.is_over(now, since),
        )

    def _finish(self, current: PublicationPass, has_sent: bool) -> None:
        """Set the gaps to the next passes, schedule one if an update waits, and assign proxies."""
        account = self._budget.account
        now = current.now
        self.has_deferred = current.has_deferred
        if has_sent:
            self._published_at = now
            self.next_message_at = now + int(MESSAGE_GAP_FACTOR * account.message_gap)
            if not current.is_deferring:
                headers = len(self._assignment.proxies) * account.header
                gap = headers / HEADER_RATE_SHARE / current.gap_divisor
                self.next_complete_pass_at = now + int(SECOND * gap / account.observed_rate)
        if self._budget.is_mandatory_waiting:
            self._schedule(now, self.next_message_at)
        elif current.has_deferred or current.gap_divisor > 1:
            self._schedule(now, self.next_complete_pass_at)
        self._assignment.assign_next(now)

    def _schedule(self, now: int, when: int) -> None:
        """Schedule a pass, unless an earlier one is scheduled: a drain must not wait for a later one."""
        when = max(when, now + RESCHEDULE_DELAY_MIN)
        if not now < self._scheduled_at <= when:
            self._scheduled_at = when
            self._actions.set_timer(when - now, Timer.PUBLISH)
