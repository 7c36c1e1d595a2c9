"""The budget of the channel: which updates may use its capacity, and in which order.

Mandatory updates (drains, removals) go before assignments of proxies, and these before ordinary changes.
Ordinary changes are also limited by a token bucket, since each order has a price.
"""

from granitespool.planner.fleet import RECOMPUTATION_PERIOD
from granitespool.planner.in_flight import UNLIMITED, InFlightAccount
from granitespool.settings import Settings
from granitespool.units import SECOND

ORDINARY_RATE_SHARE = 0.15  # share of the channel's rate that ordinary changes may use
BURST_TIME = 5  # s of the channel's rate: size of the token bucket of ordinary changes
# Share of the queue that mandatory updates may fill; the rest is a margin, since what joining proxies have
# excluded is only estimated
MANDATORY_QUEUE_SHARE = 0.94
ORDINARY_QUEUE_SHARE = 0.5  # share of the queue that all other updates may fill
JOINING_QUEUE_SHARE = 0.2  # the same while any proxy lacks its complete table: assignments go first
# ns at the observed rate that updates may wait in the channel, since a drain queues behind them
PUBLICATION_LAG_MAX = 2 * SECOND
# Share of the drain grace that updates and assignments may take at the observed rate, for the same reason
LAG_GRACE_SHARE = 1 / 3
DEFAULT_DRAIN_GRACE = SECOND  # ns, where none is configured


def effective_drain_grace(settings: Settings) -> int:
    """Return the time (ns) after which proxies must not use a drained backend."""
    return DEFAULT_DRAIN_GRACE if settings.drain_grace is None else settings.drain_grace


class ChannelBudget:
    """The token bucket of ordinary changes, and whether a mandatory update waits for capacity."""

    def __init__(self, account: InFlightAccount, settings: Settings) -> None:
        self.settings = settings
        self.account = account
        rate = UNLIMITED if settings.entries_per_s is None else settings.entries_per_s
        self.tokens = BURST_TIME * rate  # entries that ordinary changes may use
        self.is_mandatory_waiting = False  # then nothing else may use freed capacity

    @property
    def publication_lag(self) -> float:
        """The time (ns) at the observed rate that updates may wait in the channel."""
        if not self.settings.drain_grace:
            return PUBLICATION_LAG_MAX
        return min(PUBLICATION_LAG_MAX, LAG_GRACE_SHARE * self.settings.drain_grace)

    def refill(self) -> None:
        """Add the tokens of one period."""
        rate = self.account.observed_rate
        self.tokens = min(
            self.tokens + ORDINARY_RATE_SHARE * rate * RECOMPUTATION_PERIOD / SECOND, BURST_TIME * rate
        )
