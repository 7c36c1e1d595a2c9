"""Publication: which candidate updates are sent now, within the budget of the channel.

A pass over all backends runs each period, and after each change of the endpoint list; a pass over one backend
after a report that changes its state at once. Each pass selects the candidates, publishes those that the
channel has capacity for, in order of priority, and schedules another pass where something is held back.
"""

from granitespool.planner.actions import PlannerActions
from granitespool.planner.admission import AdmissionControl
from granitespool.planner.assignment import ProxyAssignment
from granitespool.planner.budget import (
    JOINING_QUEUE_SHARE,
    MANDATORY_QUEUE_SHARE,
    ORDINARY_QUEUE_SHARE,
    PUBLICATION_LAG_MAX,
    ChannelBudget,
)
from granitespool.planner.candidates import Candidate, CandidateSelection
from granitespool.planner.cost import CostTable
from granitespool.planner.dirty_set import DirtySet
from granitespool.planner.exclusion import ExclusionControl
from granitespool.planner.fleet import RECOMPUTATION_PERIOD
from granitespool.planner.outbox import Outbox
from granitespool.planner.records import Backend
from granitespool.planner.slow_start import SlowStart
from granitespool.planner.tables import TableDirectory
from granitespool.planner.timers import Timer
from granitespool.units import SECOND

MESSAGE_GAP_FACTOR = 1.25  # times the shortest gap that keeps the messages to a proxy under their cap
HEADER_RATE_SHARE = 0.15  # share of the channel's rate for headers: sets the gap between complete passes
FEW_SUBSCRIBERS = 8  # a table of at most one in so many proxies: a message to all of them is cheap
HELD_BACK_GAP_DIVISOR = 4  # of the gap after a pass in which an update had tokens and no capacity
RESCHEDULE_DELAY_MIN = RECOMPUTATION_PERIOD // 4  # ns


class PublicationPass:
    """What one pass has seen and spent so far."""

    def __init__(self, now: int, only: Backend | None, is_merging: bool, is_quiet: bool) -> None:
        self.now = now
        self.only = only
        self.is_merging = is_merging  # into a message of this turn, which costs no further header
        self.is_quiet = is_quiet  # urgent updates wait for the next complete pass
        self.written_tables: set[int] = set()  # tables whose subscribers get a message by this pass
        self.few_subscribers = 0  # tables with up to so many get urgent updates also while quiet
        self.queue_share = 0.0  # share of the queue that updates which no rule asks for may fill
        self.is_crowded = False  # rules ask for more than the channel takes, mostly for headers
        self.has_deferred = False  # something waits for the next complete pass
        self.gap_divisor = 1

    @property
    def is_complete(self) -> bool:
        """Whether it covers all backends."""
        return self.only is None


class Publisher:
    """Runs the passes, and keeps the gaps between them."""

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
        self.next_message = 0  # ns: no message before, by the cap on messages to a proxy
        self.next_complete_pass = 0  # ns: updates that are not due at once wait until then
        self.has_deferred = False  # something waits for the next complete pass
        self._published_at = -1  # ns
        self._scheduled_for = 0  # ns of the timer that counts; 0: none does

    def publish(self, now: int, only: Backend | None = None) -> None:
        """Publish what differs, of one backend or of all."""
        is_merging = now == self._published_at
        is_too_early = now < self.next_message and not is_merging
        if is_too_early or (only is not None and self._budget.is_mandatory_waiting):
            self._schedule(now, self.next_message)
            return
        is_quiet = now < self.next_complete_pass and not is_merging
        self._run(PublicationPass(now, only, is_merging, is_quiet))

    def is_due(self, now: int) -> bool:
        """Whether the timer that has fired is the scheduled one, not one that an earlier has replaced."""
        if now < self._scheduled_for:
            return False
        self._scheduled_for = 0
        return True

    def _run(self, current: PublicationPass) -> None:
        sequence_before = self._budget.account.sequence
        self._budget.is_mandatory_waiting = False
        if current.is_complete:
            self._publish_exclusions(current.now)
        candidates = self._selection.select(current.now, current.only)
        if candidates and candidates[0].is_mandatory:
            # A proxy that waits since before the oldest drain is due before it
            self._assignment.assign_next(current.now, candidates[0].due_since)
        if candidates:
            self._prepare(current, candidates)
        for candidate in candidates:
            self._consider(current, candidate)
        if current.is_complete:
            self._mark_clean(current.now)
            self._publish_exclusions(current.now)
            if not current.is_quiet:
                self._admission.publish(current.now)
        self._finish(current, self._budget.account.sequence != sequence_before)

    def _publish_exclusions(self, now: int) -> None:
        self._exclusion.publish(now, self._admission.entries_max)

    def _prepare(self, current: PublicationPass, candidates: list[Candidate]) -> None:
        """Set the limits of this pass by what the channel and the rules leave."""
        account = self._budget.account
        if account.capacity_left(1, RECOMPUTATION_PERIOD // 4) > 0:
            current.few_subscribers = len(self._assignment.proxies) // FEW_SUBSCRIBERS
        if self._budget.is_mandatory_waiting:
            current.queue_share = 0  # updates would keep a congestion up, by what frees: they stand still
        elif self._assignment.unassigned:
            current.queue_share = JOINING_QUEUE_SHARE
        else:
            current.queue_share = ORDINARY_QUEUE_SHARE
        rule_entries = sum(
            len(self._tables.subscribers[each.table]) for each in candidates if each.is_mandatory
        )
        current.is_crowded = (
            account.capacity_left(MANDATORY_QUEUE_SHARE) < rule_entries / 2
            and account.capacity_left(ORDINARY_QUEUE_SHARE) < 0
        )

    def _consider(self, current: PublicationPass, candidate: Candidate) -> None:
        """Publish a candidate if its turn has come and the channel has capacity, or hold it back."""
        readmitted = self._readmitted(candidate)
        cost = self._cost(current, candidate, len(readmitted))
        if self._has_to_wait(current, candidate):
            current.has_deferred = True
            return
        if cost > max(0, self._capacity_for(current, candidate)) or self._exceeds_tokens(candidate, cost):
            if candidate.is_mandatory:
                self._budget.is_mandatory_waiting = True
            if self._budget.tokens > cost and not self._assignment.unassigned:
                current.gap_divisor = HELD_BACK_GAP_DIVISOR
            return
        if candidate.is_ordinary:
            self._budget.tokens -= cost
        current.written_tables.add(candidate.table)
        self._send(current.now, candidate, readmitted)

    def _readmitted(self, candidate: Candidate) -> dict[int, int]:
        """Entries that readmit the candidate's backend, by proxy."""
        if not candidate.adds_entry:
            return {}
        subscribers = self._tables.subscribers[candidate.table]
        return dict(self._actions.readmission_cost(subscribers, candidate.table, candidate.backend.name))

    def _cost(self, current: PublicationPass, candidate: Candidate, readmitted: int) -> float:
        """Entries of the channel that a candidate costs, with the headers of messages that it begins."""
        per_subscriber: float = 1
        if candidate.table not in current.written_tables:
            per_subscriber += self._budget.account.header
        return readmitted + len(self._tables.subscribers[candidate.table]) * per_subscriber

    def _has_to_wait(self, current: PublicationPass, candidate: Candidate) -> bool:
        """Whether a candidate waits for the next complete pass: all but rules and what few get."""
        if candidate.is_mandatory or not current.is_quiet:
            return False
        if candidate.is_ordinary:
            return True
        subscribers = len(self._tables.subscribers[candidate.table])
        return candidate.table not in current.written_tables and subscribers > current.few_subscribers

    def _capacity_for(self, current: PublicationPass, candidate: Candidate) -> float:
        account = self._budget.account
        if not candidate.is_mandatory:
            return account.capacity_left(current.queue_share, PUBLICATION_LAG_MAX)
        return account.capacity_left(0 if current.is_crowded else MANDATORY_QUEUE_SHARE)

    def _exceeds_tokens(self, candidate: Candidate, cost: float) -> bool:
        return candidate.is_ordinary and cost > self._budget.tokens

    def _send(self, now: int, candidate: Candidate, readmitted: dict[int, int]) -> None:
        backend, table, weight = candidate.backend, candidate.table, candidate.weight
        self._outbox.set_entry(now, table, backend.name, weight, readmitted)
        self._tables.entry_counts[table] += bool(weight) - bool(backend.published.get(table))
        self._dirty.published(backend, table, weight)

    def _mark_clean(self, now: int) -> None:
        is_any_cost_known = self._costs.has_zone_mean
        self._dirty.mark_clean(
            lambda backend: (
                (backend.costs_evaluated or not is_any_cost_known) and self._slow_start.is_warm(now, backend)
            ),
            lambda since: self._slow_start.is_over(now, since),
        )

    def _finish(self, current: PublicationPass, has_written: bool) -> None:
        """Set the gaps to the next passes, schedule one where something waits, and assign proxies."""
        account = self._budget.account
        now = current.now
        self.has_deferred = current.has_deferred
        if has_written:
            self._published_at = now
            self.next_message = now + int(MESSAGE_GAP_FACTOR * account.message_gap)
            if not current.is_quiet:
                headers = len(self._assignment.proxies) * account.header
                gap = headers / HEADER_RATE_SHARE / current.gap_divisor
                self.next_complete_pass = now + int(SECOND * gap / account.observed_rate)
        if self._budget.is_mandatory_waiting:
            self._schedule(now, self.next_message)
        elif current.has_deferred or current.gap_divisor > 1:
            self._schedule(now, self.next_complete_pass)
        self._assignment.assign_next(now)

    def _schedule(self, now: int, when: int) -> None:
        """Schedule a pass, unless one is scheduled for an earlier time: a drain does not wait for a later."""
        when = max(when, now + RESCHEDULE_DELAY_MIN)
        if not now < self._scheduled_for <= when:
            self._scheduled_for = when
            self._actions.set_timer(when - now, Timer.PUBLISH)
