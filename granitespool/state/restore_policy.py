"""What of a record is believed at a start; no I/O.

    a record of another name, other classes or zones    nothing, and one sentence that says so
    a clock that went backward                          its age is unknown: nothing
    over `oldest`                                       nothing
    younger                                             sums count by 0.5 ** (age / half_life)
    a backend that the newest list calls anything but ready, or started again since   nothing of it
    cuts, running failures, a jam                       while their belief is at least LIKELY

What is met after the start goes before all of it; the planner sees to that, and to the rules."""

from math import isfinite
from typing import NamedTuple

from granitespool.state.record import Backend, Header, Kept, Link

LIKELY = 0.5  # belief under which a yes or no (a cut, a jam) is a guess: it is left out
CLOCK_SLACK = 1_000_000_000  # ns by which two clocks may differ: one is slewed, the other not
SUM_MOST = 1e18  # a sum above it is none: the words' own bound for a figure
MEASURES = "tries", "failed", "answered", "time"


class Clocks(NamedTuple):
    wall: int  # ns, Unix time
    mono: int  # ns, the machine's monotonic clock: starts anew with the machine only


class Identity(NamedTuple):
    name: str
    classes: list
    zones: list


class Belief(NamedTuple):
    """What is to be recalled, and how that came about."""

    fleet: dict
    backends: dict  # backend -> (facts, {zone: facts}), as the planner's `recalled` takes them
    left: dict  # reason -> how many backends it left out
    links: int
    cuts: int


def age_of(then, now):
    """ns that have passed, or None where a clock went backward in between. A machine that was started anew
    has a monotonic clock that tells nothing; then it always tells less than the wall clock does, which is
    the age."""
    wall, mono = now.wall - then.wall, now.mono - then.mono
    if wall < 0 or mono > wall + CLOCK_SLACK:
        return None
    return wall


def stranger(header: Header, identity: Identity):
    """Why a record is not this coordinator's, or None."""
    if header.name != identity.name:
        return f"it was written by {header.name!r:.60}, and this is {identity.name!r:.60}"
    for what in "classes", "zones":
        theirs, here = getattr(header, what), getattr(identity, what)
        if theirs != here:
            then, now = (", ".join(map(str, names))[:100] for names in (theirs, here))
            return f"it was written for the {what} {then}, and now they are {now}"
    return None


def doubt(header, then, now, identity, oldest):
    """One sentence why nothing of a record is to be believed, or None."""
    why = stranger(header, identity)
    if why:
        return why
    age = age_of(then, now)
    if age is None:
        return "the clock went backward since it was written, so its age is unknown"
    if age > oldest:
        return f"it is {age / 1e9:.0f} s old, and past {oldest / 1e9:.0f} s it counts for nothing"
    return None


def newer_list(kept: Kept, index):
    """The record's list in discovery's form where it is newer than the version `index`, or None."""
    if kept.fleet is None or kept.fleet.index <= index:
        return None
    return {
        "index": kept.fleet.index,
        "snapshot": True,
        "endpoints": [
            {
                "name": name,
                "address": each.address,
                "zone": each.zone,
                "type": each.kind,
                "status": each.phase,
                "weight": each.listed,
                "since_ms": each.started // 1_000_000,
            }
            for name, (each, _) in kept.backends.items()
        ],
    }


def believed(kept: Kept, then, now, listed, zones, own_list, half_life, oldest):
    """The Belief of a record that was last written at the Clocks `then`, of which nothing gave a doubt.
    `listed`: {backend: (phase, started)} of the newest list; `own_list`: that list is the record's own;
    times in ns."""

    def belief(at):
        old = now.wall - min(at, then.wall)
        return 0.0 if old > oldest else 0.5 ** (old / half_life)

    left, backends, links, cuts = {}, {}, 0, 0
    for name, (each, met) in kept.backends.items():
        reason = _left_out(each, listed.get(name), belief(each.at))
        if reason:
            left[reason] = left.get(reason, 0) + 1
            continue
        found = {
            zone: _link(link, part, now.wall)
            for zone, link in met.items()
            if zone in zones and sane(link) and (part := belief(link.at))
        }
        backends[name] = (
            {
                "ramp_from": _past(each.ramp_from, now.wall),
                "proven": each.proven,
                "missing": each.missing and own_list,
            },
            found,
        )
        links += len(found)
        cuts += sum(link["cut_at"] is not None for link in found.values())
    return Belief(_fleet(kept.fleet, belief), backends, left, links, cuts)


def _left_out(each: Backend, listed, part):
    if listed is None or listed[0] != "ready":
        return "not ready now"
    if each.phase != "ready":
        return "not ready then"
    if listed[1] > each.started:
        return "started again since"
    return None if part else "too old"


def sane(link: Link):
    """Whether these can be sums of what was met."""
    sums = [getattr(link, key) for key in MEASURES]
    return (
        all(isfinite(x) and 0 <= x <= SUM_MOST for x in (*sums, link.streak, link.over))
        and link.failed <= link.tries * 1.001
        and link.answered <= link.tries * 1.001
        and (link.low is None or isfinite(link.low[1]) and 0 < link.low[1] <= SUM_MOST)
    )


def _past(time, now):
    return None if time is None else min(time, now)


def _link(link: Link, part, now):
    likely = part >= LIKELY
    return {
        **{key: getattr(link, key) * part for key in MEASURES},
        "low": link.low and (min(link.low[0], now), link.low[1]),
        "over": link.over if likely else 0,
        "streak": link.streak if likely else 0,
        "cut_at": _past(link.cut_at, now) if likely else None,
        "ramp_from": _past(link.ramp_from, now),
    }


def _fleet(fleet, belief):
    part = belief(fleet.at) if fleet else 0.0
    if not part or not all(isfinite(x) and 0 <= x <= 1 for x in (fleet.room, fleet.through)):
        return {"strained": False, "room": 1.0, "through": 1.0, "asked": {}}
    likely = part >= LIKELY
    return {
        "strained": fleet.strained and likely,
        "room": 1 - (1 - fleet.room) * part if likely else 1.0,
        "through": 1 - (1 - fleet.through) * part,
        "asked": {name: number for name, number in fleet.asked.items() if 0 <= number <= SUM_MOST},
    }
