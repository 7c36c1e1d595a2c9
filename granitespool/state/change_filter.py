"""Which of what is known is worth writing now; no I/O.

Every link moves with every report. Written each time, the folder of a thousand backends would take most of a
megabyte a second; what is worth a write is what would change a start: a fact that is not a sum, a mean that
moved by a tenth, an amount that moved by half, or a value so old that its age alone would cost it belief."""

from granitespool.state.record import Backend, Fleet

MOVED = 0.1  # part a mean or a share must move by: the resend threshold of the weights
AMOUNT = 0.5  # part an amount must move by: it only tells how sure a mean is
SHARE = 0.02  # step of a share that counts: errors among tries, what is let in
REFRESH_PART = 0.5  # part of the half-life after which a value is written again: a third of its belief
FACTS = "phase", "zone", "kind", "listed", "started", "gone_at", "ramp_from", "proven", "missing", "address"


class Ledger:
    """What was last handed on to be written, by backend (None: the fleet) and key."""

    def __init__(self, half_life):
        self.written = {}
        self.set_half_life(half_life)

    def set_half_life(self, half_life):
        """In ns; what was handed on before counts by the new one."""
        self.refresh = int(half_life * REFRESH_PART)

    def due(self, groups):
        """{key: Struct, or None where it is no more} of what is worth writing in {backend: {key: Struct}},
        which has all keys of each backend it names; they count as written from now on."""
        due = {}
        for name, values in groups.items():
            written = self.written.setdefault(name, {})
            for key in [key for key in written if key not in values]:
                del written[key]
                due[key] = None
            for key, value in values.items():
                old = written.get(key)
                if old is None or value.at - old.at >= self.refresh or moved(old, value):
                    due[key] = written[key] = value
        return due

    def gone(self, names):
        """Keys of who was written and is none of `names` any more; they count as removed from now on."""
        lost = [name for name in self.written if name is not None and name not in names]
        return [key for name in lost for key in self.written.pop(name)]


def moved(old, new):
    """Whether the newer of two values would change a start."""
    if isinstance(new, Fleet):
        return fleet_moved(old, new)
    if isinstance(new, Backend):
        return any(getattr(old, fact) != getattr(new, fact) for fact in FACTS)
    return link_moved(old, new)


def part_moved(old, new, part):
    return abs(new - old) > part * max(abs(old), abs(new))


def fleet_moved(old, new):
    if (old.strained, old.index, old.asked.keys()) != (new.strained, new.index, new.asked.keys()):
        return True
    shed = new.room < 1  # who asked how much decides only while some are refused
    return (
        abs(old.room - new.room) > SHARE
        or abs(old.through - new.through) > SHARE
        or shed
        and any(part_moved(old.asked[name], asked, AMOUNT) for name, asked in new.asked.items())
    )


def link_moved(old, new):
    if (old.cut_at, old.ramp_from) != (new.cut_at, new.ramp_from) or (old.low is None) != (new.low is None):
        return True
    if min(old.over, 2) != min(new.over, 2) or bool(old.streak) != bool(new.streak):
        return True  # that they fail running counts, how many is soon forgotten
    if new.low is not None and part_moved(old.low[1], new.low[1], MOVED):
        return True
    if part_moved(old.answered, new.answered, AMOUNT) or part_moved(old.tries, new.tries, AMOUNT):
        return True
    if not new.answered or not new.tries or not old.tries or not old.answered:
        return False
    return (
        part_moved(old.time / old.answered, new.time / new.answered, MOVED)
        or abs(old.failed / old.tries - new.failed / new.tries) > SHARE
    )
