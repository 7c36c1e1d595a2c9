"""The command `state`: inspects a state folder; only `compact` needs a folder that is not in use."""

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

MAX_FILE_SIZE = 4 << 30  # bytes; equals the largest allowed value of most_mb
EXIT_OK = 0
EXIT_FAILURE = 1


def run(arguments: Mapping[str, Any]) -> int:
    """Show, verify or compact a state folder and return the exit code.

    Raises InvalidInputError if the folder is locked or has a newer format, and OSError if it cannot be read.
    """
    folder = StateFolder(arguments["DIR"])
    commands = {"show": show, "verify": verify, "compact": compact}
    [command] = [function for name, function in commands.items() if arguments[name]]
    try:
        return command(folder)
    except FolderLockedError as error:
        raise InvalidInputError(str(error)) from None
    except UnsupportedFormatError as error:
        reason = f"{error}; the folder was left untouched"
        raise InvalidInputError(reason) from None
    finally:
        folder.close()


def verify(folder: StateFolder) -> int:
    """Print whether each file is valid, and return EXIT_FAILURE if any file is corrupt."""
    files = classify_names(folder.names())
    problems = []
    valid = []
    for _, name in sorted(files.complete.items()):
        state, problem = read_file(name, folder.read(name, MAX_FILE_SIZE))
        if state and not problem:
            problem = _record_problem(state)
        if problem or not state:
            problems.append(problem)
        else:
            valid.append(f"{name}: valid, {state.frame_count} frames, {len(state.values)} values")
    for line in [*problems, *valid]:
        print(line)
    for name in files.incomplete:
        print(f"{name}: incomplete; the next start removes it")
    if not files.complete:
        print(f"{folder.path}: contains no state file")
    return EXIT_FAILURE if problems else EXIT_OK


def _record_problem(state: StoredState) -> str | None:
    try:
        records.decode_record(state.header.format_version, state.values)
    except CorruptRecordError as error:
        return f"{state.name}: {error}"
    return None


def _read_newest(folder: StateFolder) -> tuple[StoredState, Record] | None:
    """Return the newest complete state and its record; print a message and return None if there is none."""
    state, problems = read_newest(folder, MAX_FILE_SIZE)
    for problem in problems:
        print(problem)
    if state is None:
        print(f"{folder.path}: contains no readable state")
        return None
    try:
        return state, records.decode_record(state.header.format_version, state.values)
    except CorruptRecordError as error:
        reason = f"{state.name}: {error}"
        raise InvalidInputError(reason) from None


def show(folder: StateFolder) -> int:
    """Print the contents, their age and the values that a start with default settings would restore now."""
    newest = _read_newest(folder)
    if newest is None:
        return EXIT_FAILURE
    state, record = newest
    now = Clocks(time.time_ns(), time.monotonic_ns())
    _print_summary(state, record, now)
    header = state.header
    defaults = StateSettings(folder=folder.path)
    policy = Policy(int(defaults.half_life_s * SECOND), max_age=int(defaults.oldest_s * SECOND))
    identity = Identity(header.name, header.class_names, header.zones)
    reason = restore_policy.rejection_reason(header, state.clocks, now, identity, policy.max_age)
    if reason:
        print(f"nothing would be restored now: {reason}")
    else:
        _print_restored(state, record, now, policy)
    return EXIT_OK


def _print_summary(state: StoredState, record: Record, now: Clocks) -> None:
    header = state.header
    print(
        f"{state.name}: format {header.format_version}, coordinator {header.name!r}, "
        f"start {header.start_number}, program {header.program_version}, "
        f"classes {_joined(header.class_names)}, zones {_joined(header.zones)}"
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
        f"fleet: endpoint list {fleet.list_index}, {'overloaded' if fleet.is_overloaded else 'no overload'}, "
        f"admitted share {fleet.admitted_share:.0%}, success ratio {fleet.success_ratio:.1%}"
    )


def _print_restored(state: StoredState, record: Record, now: Clocks, policy: Policy) -> None:
    context = RestoreContext(
        written_at=state.clocks,
        now=now,
        endpoints={
            name: EndpointState(Phase(backend.facts.phase), backend.facts.started_at)
            for name, backend in record.backends.items()
        },
        zones=frozenset(state.header.zones),
        uses_stored_list=True,
    )
    restored = restore_policy.restore(record, context, policy)
    skipped = "".join(f"; {count} skipped: {reason}" for reason, count in restored.skipped.items())
    print(
        f"would be restored now, with a half-life of {policy.half_life / SECOND:g} s: "
        f"{len(restored.backends)} backends, {restored.link_count} links, {restored.ejected_count} ejected"
        + skipped
    )
    for name, backend in sorted(record.backends.items()):
        restored_backend = restored.backends.get(name)
        for zone, link in sorted(backend.links.items()):
            restored_link = restored_backend.links.get(zone) if restored_backend else None
            print("  " + _link_line(name, backend.facts, zone, link, restored_link))


def _link_line(
    name: str, facts: BackendRecord, zone: str, link: LinkRecord, restored: LinkSnapshot | None
) -> str:
    mean = f"{link.response_time / link.successes / MILLISECOND:.1f} ms" if link.successes else "no successes"
    failed = f", {link.failures / link.attempts:.1%} failed" if link.attempts else ""
    ejected = ", ejected" if link.ejected_at is not None else ""
    confidence = restored.attempts / link.attempts if restored and link.attempts else 0.0
    return f"{name} {facts.phase} from {zone}: {mean}{failed}{ejected}; confidence {confidence:.0%}"


def compact(folder: StateFolder) -> int:
    """Replace all files by one snapshot in the newest format; the folder must not be in use."""
    if not Path(folder.path).is_dir():
        reason = f"the folder {folder.path} does not exist"
        raise InvalidInputError(reason)
    folder.acquire_lock()
    newest = _read_newest(folder)
    if newest is None:
        return EXIT_FAILURE
    state, record = newest
    header = msgspec.structs.replace(
        state.header, format_version=records.FORMAT_VERSION, program_version=__version__
    )
    store = Store(folder, MAX_FILE_SIZE, lambda: header)
    store.stage(dict(records.encode_values(records.record_values(record))))
    size_before = sum(folder.size(name) for name in classify_names(folder.names()).complete.values())
    store.write_snapshot(state.clocks)
    print(f"{folder.path}: {size_before} bytes before, {store.size} now, {len(store.values)} values")
    return EXIT_OK
