"""The former account of the channel, for the reference planner. Counting alone.

A turn's orders to one proxy are one message: a head, a mark and its lines. They are taken off once the proxy
answers that mark or a later one, or has left; what is neither is taken off when it has become too old."""

from collections import Counter, deque

SERIALS = 65536  # marks are whole numbers under this
SECOND = 1_000_000_000  # ns
UNTOLD = 2 * SECOND  # ns that a full queue takes where no pace or no limit is told: the usual one's
MESSAGES_SPAN = 10 * SECOND  # ns that messages to a proxy are counted over where it is not told: the usual
NO_LIMIT = 1e9  # lines: stands for a queue, or a pace, without a limit
MARK_LOST = 16  # full queues at the told pace after which a mark is lost: a channel may be ten times
#                         slower for a while, and what it holds must not be forgotten
EMPTY_PART = 0.94  # part that one order may take of an empty queue: what a leaving stream was just being
#                         sent is passed on to its end, and is counted here no more


ANSWERS = 64  # answers that the met pace is a mean of: about half of a coordinator's proxies, since
#                         one that stands still tells nothing of the channel
WAY = SECOND // 2  # ns that a message may be on its way and applied in beyond the queue: tells of small
#                         queues are mostly that, and no channel is slow for it


class Turn:
    __slots__ = ("ahead", "at", "lines", "serial")

    def __init__(self, serial, at):
        self.serial, self.at, self.lines = serial, at, {}  # proxy -> lines of its message
        self.ahead = {}  # proxy -> lines of its message and all before it


class Channel:
    def __init__(self):
        self.waiting, self.serial, self.ordered = 0, 0, 0  # ordered: lines in all, heads with them
        self.turns = {}  # mark -> Turn, oldest first; as long as any of its lines waits
        self.held = {}  # proxy -> its turns, oldest first
        self.took = self.expected = 0.0  # ns that messages took, and would by the told pace: means

    def new_settings(self, settings):
        self.pace, self.limit = settings.get("lines_per_s", NO_LIMIT), settings.get("backlog_limit", NO_LIMIT)
        self.head = 1 + settings.get("message_head", 0)  # of a message, its mark with it
        told = settings.get("lines_per_s") and settings.get("backlog_limit")
        most, span = settings.get("messages_limit"), settings.get("messages_span", MESSAGES_SPAN)
        self.message_gap = span / most if most else 0  # ns between a proxy's messages by their cap
        self.full = int(SECOND * self.limit / self.pace) if told else UNTOLD  # ns that a full queue takes

    @property
    def met(self):
        """Lines a second that the channel carries by the answers met: at most the told pace."""
        return self.pace * min(1.0, self.expected / self.took) if self.took else self.pace

    def room(self, part, within=None):
        """Lines that still fit into a part of the queue, and leave within a time (ns) at the met pace; an
        empty queue takes nearly all, whatever the part."""
        most = part * self.limit
        if within is not None:
            most = min(most, self.met * within / SECOND)
        return (most if self.waiting else max(most, EMPTY_PART * self.limit)) - self.waiting

    def book(self, now, proxy, lines):
        """More lines in this turn's message to a proxy; True where the turn has no mark yet."""
        turn = self.turns.get(self.serial)
        first = turn is None or turn.at != now
        if first:
            self.serial = next(n for n in self._serials() if n not in self.turns)
            turn = self.turns[self.serial] = Turn(self.serial, now)
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
        """Of orders with these lines by proxy, how many in a row fit into a part of the queue with heads,
        and the lines that they then are to each proxy, its head not with them. Lines may be parts of one, as
        likely as they are sent: booked whole, what is never sent would fill the account."""
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
        """The proxy has applied all up to this mark, or at least its oldest (None); True if one waited."""
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
        return True

    def left(self, proxy):
        while proxy in self.held:
            self._take(proxy)

    def takes(self, lines):
        """The time until these have left as well, in ns, at the told pace."""
        return (self.waiting + lines) / self.pace * SECOND

    def expire(self, now):
        """Takes off what has waited for too long to be on its way still."""
        before = now - MARK_LOST * self.full
        for turn in [turn for turn in self.turns.values() if turn.at < before]:
            for proxy in list(turn.lines):
                self._take(proxy)

    def _take(self, proxy):
        """Takes off the oldest message to a proxy; returns its mark."""
        turns = self.held[proxy]
        turn = turns.popleft()
        if not turns:
            del self.held[proxy]
        self.waiting -= turn.lines.pop(proxy)
        if not turn.lines:
            del self.turns[turn.serial]
            self.waiting = self.waiting if self.turns else 0  # parts of lines leave no dust
        return turn.serial
