"""`state`: look after a state folder, also beside the process that owns it (but for `compact`)."""

import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from granitespool import __version__
from granitespool.coordinator_status import EndpointState
from granitespool.endpoints import Phase
from granitespool.errors import InvalidInputError
from granitespool.operator_settings import StateSettings
from granitespool.planner.status import LinkSnapshot
from granitespool.state import record as records
from granitespool.state import restore_policy
from granitespool.state.disk import StateFolder
from granitespool.state.errors import CorruptRecordError, FolderLockedError, UnsupportedFormatError
from granitespool.state.record import BackendRecord, Clocks, FleetRecord, LinkRecord, Record
from granitespool.state.restore_policy import Identity, Policy, RestoreContext
from granitespool.state.store import Store, StoredState, classify_names, read_file, read_newest
from granitespool.units import MILLISECOND, SECOND

MAX_FILE_SIZE = 4 << 30  # bytes of a file that are read: the largest most_mb
OK = 0
FAILED = 1


def run(arguments: Mapping[str, Any]) -> int:
    """Play one call and return its exit code.

    Raises InvalidInputError where the folder is locked or of a newer format, and OSError where it cannot be
    read.
    """
    folder = StateFolder(arguments["DIR"])
    commands = {"show": show, "verify": verify, "compact": compact}
    [command] = [each for name, each in commands.items() if arguments[name]]
    try:
        return command(folder)
    except FolderLockedError as error:
        raise InvalidInputError(str(error)) from None
    except UnsupportedFormatError as error:
        reason = f"{error}; it was left untouched"
        raise InvalidInputError(reason) from None
    finally:
        folder.close()


def verify(folder: StateFolder) -> int:
    """Print a sentence for each file that is not whole, and return FAILED where there is one."""
    files = classify_names(folder.names())
    problems = []
    counts = []
    for _, name in sorted(files.complete.items()):
        state, problem = read_file(name, folder.read(name, MAX_FILE_SIZE))
        if state and not problem:
            problem = _record_problem(state)
        if problem or not state:
            problems.append(problem)
        else:
            counts.append(f"{name}: whole, {state.frame_count} frames, {len(state.values)} values")
    for line in [*problems, *counts]:
        print(line)
    for name in files.incomplete:
        print(f"{name}: written aside and never finished; the next start removes it")
    if not files.complete:
        print(f"{folder.path}: holds no state file")
    return FAILED if problems else OK


def _record_problem(state: StoredState) -> str | None:
    try:
        records.decode_record(state.header.format_version, state.values)
    except CorruptRecordError as error:
        return f"{state.name}: {error}"
    return None


def _read_newest(folder: StateFolder) -> tuple[StoredState, Record] | None:
    """Return the newest complete state and its record, or None after a line that says there is none."""
    state, problems = read_newest(folder, MAX_FILE_SIZE)
    for problem in problems:
        print(problem)
    if state is None:
        print(f"{folder.path}: holds no state that can be read")
        return None
    try:
        return state, records.decode_record(state.header.format_version, state.values)
    except CorruptRecordError as error:
        reason = f"{state.name}: {error}"
        raise InvalidInputError(reason) from None


def show(folder: StateFolder) -> int:
    """Print what is held, how old it is, and what a start with the usual settings would restore now."""
    newest = _read_newest(folder)
    if newest is None:
        return FAILED
    state, record = newest
    now = Clocks(time.time_ns(), time.monotonic_ns())
    _print_summary(state, record, now)
    header = state.header
    usual = StateSettings(folder=folder.path)
    policy = Policy(int(usual.half_life_s * SECOND), max_age=int(usual.oldest_s * SECOND))
    identity = Identity(header.name, header.class_names, header.zones)
    reason = restore_policy.rejection_reason(header, state.clocks, now, identity, policy.max_age)
    if reason:
        print(f"nothing of it would be believed now: {reason}")
    else:
        _print_restored(state, record, now, policy)
    return OK


def _print_summary(state: StoredState, record: Record, now: Clocks) -> None:
    header = state.header
    print(
        f"{state.name}: format {header.format_version}, of {header.name!r}, start {header.start_number}, "
        f"program {header.program_version}, classes {_joined(header.class_names)}, "
        f"zones {_joined(header.zones)}"
    )
    age = restore_policy.record_age(state.clocks, now)
    when = "at an unknown time" if age is None else f"{age / SECOND:.1f} s ago"
    link_count = sum(len(backend.links) for backend in record.backends.values())
    print(f"written {when}; {len(record.backends)} backends, {link_count} links")
    if record.fleet:
        _print_fleet(record.fleet)


def _joined(names: Sequence[str | None]) -> str:
    return ", ".join(map(str, names)) or "none"


def _print_fleet(fleet: FleetRecord) -> None:
    print(
        f"fleet: list {fleet.list_index}, {'strained' if fleet.is_overloaded else 'calm'}, "
        f"{fleet.admitted_share:.0%} let in, {fleet.success_ratio:.1%} of tries answered"
    )


def _print_restored(state: StoredState, record: Record, now: Clocks, policy: Policy) -> None:
    situation = RestoreContext(
        written_at=state.clocks,
        now=now,
        endpoints={
            name: EndpointState(Phase(backend.facts.phase), backend.facts.started_at)
            for name, backend in record.backends.items()
        },
        zones=frozenset(state.header.zones),
        uses_stored_list=True,
    )
    restored = restore_policy.restore(record, situation, policy)
    left_out = "".join(f"; {count} left out: {reason}" for reason, count in restored.skipped.items())
    print(
        f"believed now, with a half-life of {policy.half_life / SECOND:g} s: "
        f"{len(restored.backends)} backends, {restored.link_count} links, {restored.ejected_count} cuts"
        + left_out
    )
    for name, backend in sorted(record.backends.items()):
        restored_backend = restored.backends.get(name)
        for zone, link in sorted(backend.links.items()):
            restored_link = restored_backend.links.get(zone) if restored_backend else None
            print("  " + _link_line(name, backend.facts, zone, link, restored_link))


def _link_line(
    name: str, facts: BackendRecord, zone: str, link: LinkRecord, restored: LinkSnapshot | None
) -> str:
    mean = (
        f"{link.response_time / link.successes / MILLISECOND:.1f} ms"
        if link.successes
        else "nothing answered"
    )
    failed = f", {link.failures / link.attempts:.1%} failed" if link.attempts else ""
    ejected = ", cut" if link.ejected_at is not None else ""
    part = restored.attempts / link.attempts if restored and link.attempts else 0.0
    return f"{name} {facts.phase} from {zone}: {mean}{failed}{ejected}; believed by {part:.0%}"


def compact(folder: StateFolder) -> int:
    """Replace what is there by one snapshot in the newest format; the folder must not be in use."""
    if not Path(folder.path).is_dir():
        reason = f"there is no folder {folder.path}"
        raise InvalidInputError(reason)
    folder.acquire_lock()
    newest = _read_newest(folder)
    if newest is None:
        return FAILED
    state, record = newest
    header = msgspec.structs.replace(
        state.header, format_version=records.FORMAT_VERSION, program_version=__version__
    )
    store = Store(folder, MAX_FILE_SIZE, lambda: header)
    store.stage(dict(records.encode_values(records.record_values(record))))
    before = sum(folder.size(name) for name in classify_names(folder.names()).complete.values())
    store.write_snapshot(state.clocks)
    print(f"{folder.path}: {before} bytes before, {store.size} now, {len(store.values)} values")
    return OK
