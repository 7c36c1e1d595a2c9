"""The budget of the channel: what may use its capacity, and in which order.

Entries that a rule asks for (drains, removals) go before assignments of proxies, these before ordinary
changes. Ordinary changes have a token bucket of their own besides, since each order has a price.
"""

from granitespool.planner.fleet import RECOMPUTATION_PERIOD
from granitespool.planner.in_flight import UNLIMITED, InFlightAccount
from granitespool.settings import Settings
from granitespool.units import SECOND

ORDINARY_RATE_SHARE = 0.15  # share of the channel's rate that ordinary changes may use
BURST_TIME = 5  # s of the channel's rate that ordinary changes may save up: the design page's period
MANDATORY_QUEUE_SHARE = (
    0.94  # share of the queue that entries of rules may fill: what joiners hold is a guess
)
ORDINARY_QUEUE_SHARE = 0.5  # share that all other updates may fill
JOINING_QUEUE_SHARE = 0.2  # the same while any proxy is unassigned: assignments go first
PUBLICATION_LAG_MAX = 2 * SECOND  # ns at the observed rate that updates may wait in the channel: a drain
#                                   would be behind them


class ChannelBudget:
    """Tokens of ordinary changes, and whether an entry of a rule waits for capacity."""

    def __init__(self, account: InFlightAccount, settings: Settings) -> None:
        self.account = account
        rate = UNLIMITED if settings.entries_per_s is None else settings.entries_per_s
        self.tokens = BURST_TIME * rate  # entries that ordinary changes may use
        self.is_mandatory_waiting = False  # nothing else may use what frees until that fits

    def refill(self) -> None:
        """A period has passed."""
        rate = self.account.observed_rate
        self.tokens = min(
            self.tokens + ORDINARY_RATE_SHARE * rate * RECOMPUTATION_PERIOD / SECOND, BURST_TIME * rate
        )
