"""The former account of the entries in flight, for the reference planner. It only counts.

The updates of a turn to one proxy are one message: a header, an acknowledgement barrier (`serial`, a "mark")
and its entries ("lines"). They leave the account when the proxy acknowledges that barrier or a later one, or
has left; otherwise when the channel has passed them for some time, by the acknowledgements of other proxies,
or when they are too old.
"""

from collections import Counter, deque

SERIALS = 65536  # barrier numbers are below this
SECOND = 1_000_000_000  # ns
UNTOLD = 2 * SECOND  # ns to drain a full queue if the rate or the limit is unset: the usual value
MESSAGES_SPAN = 10 * SECOND  # ns: window of the message limit if it is unset: the usual value
NO_LIMIT = 1e9  # entries: stands for an unlimited queue or rate
# Times to drain a full queue at the configured rate after which a barrier is lost: a channel may be ten times
# slower for a while, and what it holds must stay in the account
MARK_LOST = 16
# Share of an empty queue that one update may take: the message that an ended stream was being sent is still
# passed on, and is no longer counted here
EMPTY_PART = 0.94
# Acknowledgements in the mean of the observed rate: about half of a coordinator's proxies, since a stalled
# one shows nothing about the channel
ANSWERS = 64
# ns that an acknowledgement may take after the channel has passed its message
PASSED = 2 * SECOND
# ns of transport and applying beyond the time in the queue: with small queues the latency is mostly that, and
# the channel is not slow because of it
WAY = SECOND // 2


class Turn:
    __slots__ = ("ahead", "at", "lines", "number", "passed", "serial")

    def __init__(self, number, serial, at):
        self.number, self.passed = number, None  # passed: ns at which the channel has sent the whole turn
        self.serial, self.at, self.lines = serial, at, {}  # proxy -> entries of its message
        self.ahead = {}  # proxy -> entries of its message and of all earlier ones


class Channel:
    def __init__(self):
        self.waiting, self.serial, self.ordered = 0, 0, 0  # ordered: entries sent in total, with headers
        self.count, self.newest = (
            0,
            -1,
        )  # number of turns, and the newest of which any barrier is acknowledged
        self.turns = {}  # barrier -> Turn, oldest first, while any of its entries is in flight
        self.held = {}  # proxy -> its turns, oldest first
        # ns: mean latency of messages, and the one expected by the configured rate
        self.took = self.expected = 0.0

    def new_settings(self, settings):
        self.pace, self.limit = settings.get("lines_per_s", NO_LIMIT), settings.get("backlog_limit", NO_LIMIT)
        self.head = 1 + settings.get("message_head", 0)  # entries of a message's header with its barrier
        told = settings.get("lines_per_s") and settings.get("backlog_limit")
        most, span = settings.get("messages_limit"), settings.get("messages_span", MESSAGES_SPAN)
        self.message_gap = span / most if most else 0  # ns between a proxy's messages by the limit
        self.full = int(SECOND * self.limit / self.pace) if told else UNTOLD  # ns to drain a full queue

    @property
    def met(self):
        """The observed rate in entries a second, by the acknowledgements; at most the configured rate."""
        return self.pace * min(1.0, self.expected / self.took) if self.took else self.pace

    def room(self, part, within=None):
        """Return the entries that fit into a share of the queue and leave within a time (ns).

        The time counts at the observed rate. An empty queue takes nearly its limit, whatever the share.
        """
        most = part * self.limit
        if within is not None:
            most = min(most, self.met * within / SECOND)
        return (most if self.waiting else max(most, EMPTY_PART * self.limit)) - self.waiting

    def book(self, now, proxy, lines):
        """Add entries to this turn's message to a proxy; return True if the turn has no barrier yet."""
        turn = self.turns.get(self.serial)
        first = turn is None or turn.at != now
        if first:
            self.serial = next(n for n in self._serials() if n not in self.turns)
            turn = self.turns[self.serial] = Turn(self.count, self.serial, now)
            self.count += 1
        if proxy not in turn.lines:
            turn.lines[proxy] = 0
            self.held.setdefault(proxy, deque()).append(turn)
            lines += self.head
        turn.lines[proxy] += lines
        self.ordered += lines
        self.waiting += lines
        turn.ahead[proxy] = self.waiting
        return first

    def fitting(self, costs, part):
        """Return how many updates in order fit into a share of the queue, and their entries by proxy.

        `costs` are entries by proxy of each update; headers count for the fit and not in the result. Entries
        may be fractions, by the probability that they are sent: counted whole, entries that are never sent
        would fill the account.
        """
        room, reach, fits = self.room(part), Counter(), 0
        for more in costs:
            room -= sum(
                self._message(reach[proxy] + lines) - self._message(reach[proxy])
                for proxy, lines in more.items()
            )
            if room < 0:
                break
            reach.update(more)
            fits += 1
        return fits, {proxy: self._message(lines) - self.head for proxy, lines in reach.items()}

    def _message(self, lines):
        return min(1, lines) * (self.head + max(1, lines))

    def _serials(self):
        return ((self.serial + 1 + n) % SERIALS for n in range(SERIALS))

    def answered(self, now, proxy, serial, took=None):
        """Record that a proxy has applied all up to this barrier, or its oldest (None).

        Return True if a message was in flight.
        """
        turns = self.held.get(proxy, ())
        turn = next((turn for turn in turns if turn.serial == serial), None)
        if not turns or (serial is not None and turn is None):
            return False
        if turn and took is not None:
            told = WAY + turn.ahead[proxy] / self.pace * SECOND
            self.took += (min(took, now - turn.at) - self.took) / ANSWERS
            self.expected += (told - self.expected) / ANSWERS
        while self._take(proxy) not in (serial, None) and serial is not None:
            pass
        if turn and turn.number >= self.newest:
            self.newest = turn.number
            for older in [older for older in self.turns.values() if older.number < turn.number]:
                older.passed = min(now, older.passed or now)
            turn.passed = now + int(SECOND * sum(turn.lines.values()) / self.met)
        if turn:
            self._take_passed(now)
        return True

    def _take_passed(self, now):
        for turn in list(self.turns.values()):
            if turn.passed is None or turn.passed > now - PASSED:
                return
            for proxy in list(turn.lines):
                self._take(proxy)

    def unanswered(self, now):
        """Return the entries of messages that the channel has sent and that silent proxies do not answer."""
        turns = [turn for turn in self.turns.values() if turn.passed is not None]
        return sum(sum(turn.lines.values()) for turn in turns if turn.passed <= now - WAY)

    def left(self, proxy):
        while proxy in self.held:
            self._take(proxy)

    def takes(self, lines):
        """Return the time until these entries have left as well, in ns, at the configured rate."""
        return (self.waiting + lines) / self.pace * SECOND

    def expire(self, now):
        """Remove the messages that the channel has passed or that are too old to be still in flight."""
        self._take_passed(now)
        before = now - MARK_LOST * self.full
        for turn in [turn for turn in self.turns.values() if turn.at < before]:
            for proxy in list(turn.lines):
                self._take(proxy)

    def _take(self, proxy):
        """Remove the oldest message to a proxy and return its barrier."""
        turns = self.held[proxy]
        turn = turns.popleft()
        if not turns:
            del self.held[proxy]
        self.waiting -= turn.lines.pop(proxy)
        if not turn.lines:
            del self.turns[turn.serial]
            # Drops the rounding error of fractions of entries
            self.waiting = self.waiting if self.turns else 0
        return turn.serial
