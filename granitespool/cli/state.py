"""`state`: look after a state folder, also beside the process that owns it (but for `compact`)."""

import os
import time

import msgspec

from granitespool import __version__
from granitespool.errors import InvalidInputError
from granitespool.operator_settings import State
from granitespool.state import record, restore_policy
from granitespool.state.disk import Folder, Owned
from granitespool.state.record import Spoilt
from granitespool.state.store import Newer, Store, ours, read_file, recover

READ_MOST = 4 << 30  # bytes of a file that are read: the largest most_mb


def run(told):
    folder = Folder(told["DIR"])
    try:
        for command in "show", "verify", "compact":
            if told[command]:
                return globals()[command](folder)
    except Owned as error:
        raise InvalidInputError(str(error)) from None
    except Newer as error:
        raise InvalidInputError(f"{error}; it was left untouched") from None
    finally:
        folder.close()


def verify(folder):
    """0 where all that is there is whole; else 1 and a sentence for each file that is not."""
    whole, aside = ours(folder.names())
    problems, counts = [], []
    for _, name in sorted(whole.items()):
        found, problem = read_file(name, folder.read(name, READ_MOST))
        if found and not problem:
            try:
                record.kept(found.header.format, found.held)
            except Spoilt as error:
                problem = f"{name}: {error}"
        if problem:
            problems.append(problem)
        else:
            counts.append(f"{name}: whole, {found.frames} frames, {len(found.held)} values")
    for line in [*problems, *counts]:
        print(line)
    for name in aside:
        print(f"{name}: written aside and never finished; the next start removes it")
    if not whole:
        print(f"{folder.path}: holds no state file")
    return 1 if problems else 0


def _newest(folder):
    """(Found, Kept) of the newest whole state, or (None, None) and a line that says so."""
    found, problems = recover(folder, READ_MOST)
    for problem in problems:
        print(problem)
    if found is None:
        print(f"{folder.path}: holds no state that can be read")
        return None, None
    try:
        return found, record.kept(found.header.format, found.held)
    except Spoilt as error:
        raise InvalidInputError(f"{found.name}: {error}") from None


def show(folder):
    """What is held, how old it is, and what a start with the usual settings would believe now."""
    found, kept = _newest(folder)
    if found is None:
        return 1
    header = found.header
    now, then = (
        restore_policy.Clocks(time.time_ns(), time.monotonic_ns()),
        restore_policy.Clocks(*found.clocks),
    )
    age, usual = restore_policy.age_of(then, now), State(folder=folder.path)
    classes, zones = (", ".join(map(str, names)) or "none" for names in (header.classes, header.zones))
    print(
        f"{found.name}: format {header.format}, of {header.name!r}, start {header.start}, program "
        f"{header.program}, classes {classes}, zones {zones}"
    )
    when = "at an unknown time" if age is None else f"{age / 1e9:.1f} s ago"
    links = sum(len(links) for _, links in kept.backends.values())
    print(f"written {when}; {len(kept.backends)} backends, {links} links")
    if kept.fleet:
        fleet = kept.fleet
        print(
            f"fleet: list {fleet.index}, {'strained' if fleet.strained else 'calm'}, "
            f"{fleet.room:.0%} let in, "
            f"{fleet.through:.1%} of tries answered"
        )
    identity = restore_policy.Identity(header.name, header.classes, header.zones)
    oldest, half_life = int(usual.oldest_s * 1e9), int(usual.half_life_s * 1e9)
    why = restore_policy.doubt(header, then, now, identity, oldest)
    if why:
        print(f"nothing of it would be believed now: {why}")
        return 0
    listed = {name: (facts.phase, facts.started) for name, (facts, _) in kept.backends.items()}
    belief = restore_policy.believed(
        kept, then, now, listed, frozenset(header.zones), True, half_life, oldest
    )
    print(
        f"believed now, with a half-life of {usual.half_life_s:g} s: {len(belief.backends)} backends, "
        f"{belief.links} links, {belief.cuts} cuts"
        + "".join(f"; {count} left out: {reason}" for reason, count in belief.left.items())
    )
    for name, (facts, links) in sorted(kept.backends.items()):
        for zone, link in sorted(links.items()):
            print("  " + _line(name, facts, zone, link, belief.backends.get(name, ({}, {}))[1].get(zone)))
    return 0


def _line(name, facts, zone, link, believed):
    mean = f"{link.time / link.answered / 1e6:.1f} ms" if link.answered else "nothing answered"
    part = believed["tries"] / link.tries if believed and link.tries else 0.0
    failed = f", {link.failed / link.tries:.1%} failed" if link.tries else ""
    out = ", cut" if link.cut_at is not None else ""
    return f"{name} {facts.phase} from {zone}: {mean}{failed}{out}; believed by {part:.0%}"


def compact(folder):
    """One snapshot in the newest format in the place of what is there; the folder must not be in use."""
    if not os.path.isdir(folder.path):
        raise InvalidInputError(f"there is no folder {folder.path}")
    folder.lock()
    found, kept = _newest(folder)
    if found is None:
        return 1
    header = msgspec.structs.replace(found.header, format=record.FORMAT, program=__version__)
    store = Store(folder, READ_MOST, lambda: header)
    store.take(
        {
            key: record.value_bytes(value)
            for values in record.values_of(kept).values()
            for key, value in values.items()
        }
    )
    before = sum(folder.size(name) for name in ours(folder.names())[0].values())
    store.begin(*found.clocks)
    print(f"{folder.path}: {before} bytes before, {store.size} now, {len(store.held)} values")
    return 0
