"""Which of what is known is worth writing now; no I/O.

Every link moves with every report. Written each time, the folder of a thousand backends would take most of a
megabyte a second; what is worth a write is what would change a start: a fact that is not a sum, a mean that moved
by a tenth, an amount that moved by half, or a value so old that its age alone would cost it belief."""
from granitespool.state.record import FLEET, Backend, Fleet

MOVED = 0.1          # part a mean or a share must move by: the resend threshold of the weights
AMOUNT = 0.5         # part an amount must move by: it only tells how sure a mean is
SHARE = 0.02         # step of a share that counts: errors among tries, what is let in
REFRESH_PART = 0.25  # part of the half-life after which a value is written again: a sixth of its belief
FACTS = "phase", "zone", "kind", "listed", "started", "gone_at", "ramp_from", "proven", "missing", "address"


class Ledger:
    """What was last handed on to be written, by key."""

    def __init__(self, half_life):
        self.refresh, self.written = int(half_life * REFRESH_PART), {}

    def due(self, values):
        """Those of {key: Struct} that are worth writing; they count as written from now on."""
        due = {key: value for key, value in values.items()
               if (old := self.written.get(key)) is None or self._moved(old, value)}
        self.written.update(due)
        return due

    def gone(self, names):
        """Keys of what was written and is none of `names` any more; they count as removed from now on."""
        gone = [key for key in self.written if key != FLEET and key_name(key) not in names]
        for key in gone:
            del self.written[key]
        return gone

    def _moved(self, old, new):
        if new.at - old.at >= self.refresh:
            return True
        if isinstance(new, Fleet):
            return fleet_moved(old, new)
        if isinstance(new, Backend):
            return any(getattr(old, fact) != getattr(new, fact) for fact in FACTS) \
                or old.links.keys() != new.links.keys() \
                or any(link_moved(old.links[zone], link) for zone, link in new.links.items())
        return link_moved(old, new)


def key_name(key):
    """The backend that a key is of."""
    return key[1:].decode()


def part_moved(old, new, part):
    return abs(new - old) > part * max(abs(old), abs(new))


def fleet_moved(old, new):
    return (old.strained, old.index) != (new.strained, new.index) or abs(old.room - new.room) > SHARE \
        or abs(old.through - new.through) > SHARE or old.asked.keys() != new.asked.keys() \
        or new.room < 1 and any(part_moved(old.asked[name], asked, AMOUNT) for name, asked in new.asked.items())


def link_moved(old, new):
    if (old.cut_at, old.ramp_from) != (new.cut_at, new.ramp_from) or (old.low is None) != (new.low is None):
        return True
    if min(old.over, 2) != min(new.over, 2) or bool(old.streak) != bool(new.streak):
        return True                              # how many failed running is soon forgotten; that they do is not
    if new.low is not None and part_moved(old.low[1], new.low[1], MOVED):
        return True
    if part_moved(old.answered, new.answered, AMOUNT) or part_moved(old.tries, new.tries, AMOUNT):
        return True
    if not new.answered or not new.tries or not old.tries or not old.answered:
        return False
    return part_moved(old.time / old.answered, new.time / new.answered, MOVED) \
        or abs(old.failed / old.tries - new.failed / new.tries) > SHARE
