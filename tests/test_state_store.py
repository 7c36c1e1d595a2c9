"""Tests of the store on a faulty disk: crashes at every call, failing calls and corrupt bytes.

Guards against reading a state that was never stored, or a state older than the last synced state.
"""

import copy
import errno
import pathlib
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from support.faulty_folder import Crash, FaultyFolder, tears

from granitespool.state import framing, record
from granitespool.state.errors import UnsupportedFormatError
from granitespool.state.framing import FrameKind
from granitespool.state.record import Batch, Clocks, SnapshotEnd
from granitespool.state.store import Store, classify_names, file_name, read_file, read_newest

MOST = 1 << 20  # maximum size of the folder in bytes
VERSION_1_FOLDER = pathlib.Path(__file__).parent / "data" / "state-v1"


def header(version=record.FORMAT_VERSION):
    return lambda: record.Header(version, "n0", ["pay"], ["n", "s"], 1, 1, 1, "test")


def store_on(disk, max_size=MOST, version=record.FORMAT_VERSION):
    store, (found, _) = Store(disk, max_size, header(version)), read_newest(disk, max_size)
    if found:
        store.generation = found.generation
        store.stage(found.values)
    return store


def batches(count, seed=3):
    """Yield small batches of changes, which add, change and remove keys."""
    rng = random.Random(seed)
    for number in range(count):
        changes = {
            b"b%d" % rng.randrange(12): rng.choice([None, b"x" * rng.randrange(1, 60)]) for _ in range(3)
        }
        yield {**changes, b"f": b"%d" % number}


def run(disk, count, max_size, crash_at=None):
    """Write `count` batches of changes.

    Returns the state after each batch, the index of the last synced state and whether the machine crashed.
    """
    states, synced, store = [{}], 0, store_on(disk, max_size)
    disk.crash_at = crash_at
    try:
        for number, changes in enumerate(batches(count), 1):
            state = dict(states[-1])
            for key, value in changes.items():
                state.pop(key, None) if value is None else state.__setitem__(key, value)
            states.append(state)
            store.append(Clocks(number, number), changes)
            synced = number
            if number % 9 == 0:
                store.write_snapshot(Clocks(number, number))
    except Crash:
        return states, synced, True
    return states, synced, False


@pytest.mark.parametrize("max_size", [MOST, 9_000], ids=["large folder", "small folder"])
def test_a_crash_at_any_call_leaves_a_complete_state_not_older_than_the_last_synced(max_size):
    disk = FaultyFolder()
    run(disk, 36, max_size)
    kinds = {call for _, call, _ in disk.log}
    assert kinds == {"append", "sync", "rename", "unlink", "sync_names"}
    checked, call_count = 0, disk.calls
    for crash_at in range(1, call_count + 1):
        disk = FaultyFolder()
        states, synced, crashed = run(disk, 36, max_size, crash_at)
        assert crashed
        unsafe = max([len(i.data) - len(i.safe) for i in disk.present.values()], default=0)
        changes = len(disk.pending)
        keeps = (
            [lambda n: False, lambda n: True]
            + [lambda n, k=k: n == k for k in range(changes)]
            + [lambda n, k=k: n != k for k in range(changes)]
        )
        for keep in keeps:
            for tear in tears(unsafe):
                found, _ = read_newest(FaultyFolder(disk.after_crash(keep, tear)), MOST)
                values = found.values if found else {}
                assert values in states[synced:], (crash_at, disk.log[-3:], synced)
                checked += 1
    assert checked > 1_000


def small_file():
    disk = FaultyFolder()
    store = store_on(disk)
    states = [{}]
    for number, changes in enumerate(batches(3), 1):
        store.append(Clocks(number, number), changes)
        states.append(dict(store.values))
    [name] = disk.names()
    return name, disk.present[name].data, states


def test_any_flipped_bit_is_detected_and_later_frames_are_not_read():
    name, data, states = small_file()
    for at in range(len(data)):
        for bit in (1, 0x80):
            corrupt = bytearray(data)
            corrupt[at] ^= bit
            found, problem = read_file(name, bytes(corrupt))
            assert problem and name in problem, at
            assert found is None or found.values in states[1:-1], at


def test_a_truncated_file_reads_as_a_former_state_and_is_reported_unless_cut_between_frames():
    name, data, states = small_file()
    ends = [offset for offset, _, _ in framing.decode_frames(data)]
    for size in range(len(data)):
        found, problem = read_file(name, data[:size])
        assert found is None or found.values in states[1:], size
        assert problem or size in ends, size
        assert problem is None or "at byte" in problem


@given(st.binary(max_size=300), st.booleans())
@settings(max_examples=300, deadline=None, derandomize=True)
def test_random_bytes_are_reported_and_raise_no_exception(data, has_start):
    start = framing.encode_file_start(7) if has_start else b""
    found, problem = read_file(file_name(7), start + data)
    assert found is None and problem


@given(st.sampled_from(list(FrameKind)), st.binary(max_size=80))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_a_frame_with_an_invalid_body_is_reported_and_raises_no_exception(kind, body):
    name, data, _ = small_file()
    corrupt = data + framing.encode_frame(1, len(data), kind, body)
    try:
        found, problem = read_file(name, corrupt)
    except UnsupportedFormatError:
        pytest.fail("a frame after the header was read as a header")
    assert found and (problem or kind == FrameKind.CHANGES)


def file_with_frame(kind, body):
    """Return the bytes of a file that contains a header and one more frame."""
    data = framing.encode_file_start(7) + framing.encode_frame(
        7, framing.FIRST_FRAME_OFFSET, FrameKind.HEADER, record.encode_value(header()())
    )
    return data + framing.encode_frame(7, len(data), kind, body)


@pytest.mark.parametrize(
    "data, words",
    [
        (b"", "not a state file"),
        (b"SQLite format 3\x00" + bytes(90), "not a state file"),
        (framing.MAGIC, "ends before its first frame"),
        (framing.encode_file_start(9), "the generation 9, its name another one"),
        (framing.encode_file_start(7) + bytes(64), "has the invalid length 0"),
        (framing.encode_file_start(7), "ends before its snapshot is complete"),
        (
            framing.encode_file_start(7)
            + framing.encode_frame(7, framing.FIRST_FRAME_OFFSET, FrameKind.SNAPSHOT_END, b""),
            "the first frame is not a header",
        ),
        (
            framing.encode_file_start(7)
            + framing.encode_frame(8, framing.FIRST_FRAME_OFFSET, FrameKind.HEADER, b""),
            "the checksum of a frame is wrong",
        ),
        (
            framing.encode_file_start(7) + framing.encode_payload(7, framing.FIRST_FRAME_OFFSET, b"?"),
            "unknown kind",
        ),
        (
            file_with_frame(FrameKind.SNAPSHOT_END, record.encode_value(SnapshotEnd(1, 1, 5))),
            "the snapshot contains 0 of 5 values",
        ),
        (file_with_frame(FrameKind.CHANGES, record.encode_value(Batch(1, 1, {}))), "out of place"),
        (file_with_frame(FrameKind.HEADER, b"\x90"), "out of place"),
        (file_with_frame(FrameKind.SNAPSHOT, b"\xc1"), "cannot be decoded"),
    ],
)
def test_an_invalid_file_is_reported_in_one_sentence(data, words):
    found, problem = read_file(file_name(7), data)
    assert found is None and words in problem and "\n" not in problem


def test_a_newer_format_is_left_untouched_and_an_older_one_is_upgraded():
    disk = FaultyFolder()
    store_on(disk, version=record.FORMAT_VERSION + 1).append(Clocks(1, 1), {b"f": b"x"})
    before = {name: inode.data for name, inode in disk.present.items()}
    with pytest.raises(UnsupportedFormatError, match="format 3"):
        read_newest(disk, MOST)
    assert {name: inode.data for name, inode in disk.present.items()} == before
    old = FaultyFolder({path.name: path.read_bytes() for path in VERSION_1_FOLDER.iterdir()})
    found, problems = read_newest(old, MOST)
    stored = record.decode_record(found.header.format_version, found.values)
    assert (
        found.header.format_version == 1 and not problems and sorted(stored.backends) == ["a", "b", "c", "d"]
    )
    facts, links = stored.backends["a"]
    assert (
        links["n"].response_time / links["n"].successes == 5e7
        and links["n"].taken_at == facts.taken_at == 10**18
    )
    assert (
        stored.backends["c"][1]["n"].ejected_at == 10**18 - 10**9
        and stored.backends["d"][0].phase == "draining"
    )
    again = record.decode_record(
        2,
        {
            key: record.encode_value(value)
            for values in record.record_values(stored).values()
            for key, value in values.items()
        },
    )
    assert again == stored


def test_the_folder_never_exceeds_its_limit_and_an_error_says_if_it_is_too_small():
    disk, max_size = FaultyFolder(), 60_000
    store, rng = store_on(disk, max_size), random.Random(1)
    for number in range(400):
        store.append(Clocks(number, number), {b"k%d" % rng.randrange(30): b"v" * rng.randrange(400)})
        assert sum(disk.size(name) for name in disk.names()) <= max_size
    with pytest.raises(OSError, match="more than most_mb"):
        store.append(Clocks(1, 1), {b"large": b"v" * max_size})
    assert sum(disk.size(name) for name in disk.names()) <= max_size
    store.append(Clocks(2, 2), {b"large": None})
    assert read_newest(disk, MOST).state.values == store.values


def test_a_file_that_could_not_be_removed_and_an_incomplete_one_are_removed_later():
    disk = FaultyFolder({file_name(3) + ".new": b"half"})
    store = store_on(disk)
    store.append(Clocks(1, 1), {b"a": b"1"})
    disk.fails = {"unlink": errno.EIO}
    store.write_snapshot(Clocks(2, 2))
    assert (
        len(classify_names(disk.names()).complete) == 2
        and read_newest(disk, MOST).state.generation == store.generation
    )
    disk.fails = {}
    store.write_snapshot(Clocks(3, 3))
    assert disk.names() == [file_name(store.generation)] and store.generation == 6


@pytest.mark.parametrize("call", ["append", "sync"])
def test_a_new_file_is_begun_after_a_failed_write_or_sync(call):
    disk = FaultyFolder()
    store = store_on(disk)
    store.append(Clocks(1, 1), {b"a": b"1"})
    disk.fails = {call: errno.ENOSPC}
    with pytest.raises(OSError, match="No space"):
        store.append(Clocks(2, 2), {b"a": b"2", b"b": b"2"})
    disk.fails = {}
    store.append(Clocks(3, 3), {b"c": b"3"})
    found, problems = read_newest(FaultyFolder(disk.after_crash(lambda n: True, lambda data: b"")), MOST)
    assert found.values == {b"a": b"2", b"b": b"2", b"c": b"3"} and not problems


class Model(RuleBasedStateMachine):
    """The store against a plain map, under everything that a disk may do."""

    @initialize()
    def begin(self):
        self.disk, self.states, self.synced, self.time = FaultyFolder(), [{}], 0, 0
        self.store = store_on(self.disk)

    def _next(self, changes):
        state = dict(self.states[-1])
        for key, value in changes.items():
            state.pop(key, None) if value is None else state.__setitem__(key, value)
        self.states.append(state)
        self.time += 1

    def _write(self, call):
        try:
            call()
            self.synced = len(self.states) - 1
        except OSError:
            pass

    @rule(
        changes=st.dictionaries(
            st.sampled_from([b"a", b"b", b"c", b"d"]),
            st.none() | st.binary(max_size=40),
            min_size=1,
            max_size=4,
        )
    )
    def append(self, changes):
        self._next(changes)
        self._write(lambda: self.store.append(Clocks(self.time, self.time), changes))

    @rule()
    def compact(self):
        self._write(lambda: self.store.write_snapshot(Clocks(self.time, self.time)))

    @rule(
        call=st.sampled_from(["append", "sync", "rename", "unlink", "sync_names"]),
        code=st.sampled_from([errno.ENOSPC, errno.EIO, errno.EROFS]),
    )
    def fault(self, call, code):
        self.disk.fails = {call: code}

    @rule()
    def mend(self):
        self.disk.fails = {}

    @rule()
    def reopen(self):
        """The process ends and starts; the machine goes on, so all that was written is there."""
        self.disk.fails, self.disk.open = {}, {}
        self.store = store_on(self.disk)
        self._restart(self.store.values)

    @precondition(lambda self: self.disk.calls)
    @rule(
        after=st.integers(1, 8),
        kept=st.integers(0, 255),
        cut=st.integers(0, 400),
        zeros=st.booleans(),
        changes=st.dictionaries(st.sampled_from([b"a", b"e"]), st.binary(max_size=300), min_size=1),
    )
    def crash(self, after, kept, cut, zeros, changes):
        """The machine stops within one of the next calls."""
        self._next(changes)
        self.disk.crash_at = self.disk.calls + after
        try:
            self._write(lambda: self.store.append(Clocks(self.time, self.time), changes))
            self._write(lambda: self.store.write_snapshot(Clocks(self.time, self.time)))
        except Crash:
            pass
        files = self.disk.after_crash(
            lambda n: kept >> n % 8 & 1,
            lambda data: data[:cut] if not zeros else bytes(min(cut, len(data))) + data[cut:],
        )
        self.disk = FaultyFolder(files)
        self.store = store_on(self.disk)
        self._restart(self.store.values)

    def _restart(self, held):
        assert held in self.states[self.synced :], (held, self.states[self.synced :])
        self.states, self.synced = [copy.deepcopy(held)], 0

    @invariant()
    def a_reader_beside_it_finds_a_whole_state(self):
        if hasattr(self, "disk"):
            found, _ = read_newest(self.disk, MOST)
            assert (found.values if found else {}) in self.states[self.synced :]


Model.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None, derandomize=True)
TestModel = Model.TestCase
