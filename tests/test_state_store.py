"""The store against a disk that forgets: crashes at every call, flipped bytes, faults, and a plain model."""

import copy
import errno
import pathlib
import random

import pytest
from disks import Crash, Forgetful, tears
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from granitespool.state import framing, record
from granitespool.state.store import Newer, Store, file_name, ours, read_file, recover

MOST = 1 << 20
V1 = pathlib.Path(__file__).parent / "data" / "state-v1"


def header(version=record.FORMAT):
    return lambda: record.Header(version, "n0", ["pay"], ["n", "s"], 1, 1, 1, "test")


def store_on(disk, most=MOST, version=record.FORMAT):
    store, (found, _) = Store(disk, most, header(version)), recover(disk, most)
    if found:
        store.generation = found.generation
        store.take(found.held)
    return store


def steps(count, seed=3):
    """Batches of changes as a long run has them: most small, some large, keys that come and go."""
    rng = random.Random(seed)
    for number in range(count):
        changes = {
            b"b%d" % rng.randrange(12): rng.choice([None, b"x" * rng.randrange(1, 60)]) for _ in range(3)
        }
        yield {**changes, b"f": b"%d" % number}


def run(disk, count, most, crash_at=None):
    """Plays the long run; returns (states in order, number of the last that was reported as synced)."""
    states, synced, store = [{}], 0, store_on(disk, most)
    disk.crash_at = crash_at
    try:
        for number, changes in enumerate(steps(count), 1):
            state = dict(states[-1])
            for key, value in changes.items():
                state.pop(key, None) if value is None else state.__setitem__(key, value)
            states.append(state)
            store.append(number, number, changes)
            synced = number
            if number % 9 == 0:
                store.begin(number, number)
    except Crash:
        return states, synced, True
    return states, synced, False


@pytest.mark.parametrize("most", [MOST, 9_000], ids=["roomy", "tight"])
def test_a_crash_at_every_call_leaves_one_whole_state_not_older_than_the_last_synced(most):
    disk = Forgetful()
    run(disk, 36, most)
    kinds = {call for _, call, _ in disk.log}
    assert kinds == {"append", "sync", "rename", "unlink", "sync_names"}
    looked, before = 0, disk.calls
    for crash_at in range(1, before + 1):
        disk = Forgetful()
        states, synced, crashed = run(disk, 36, most, crash_at)
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
                found, _ = recover(Forgetful(disk.after_crash(keep, tear)), MOST)
                held = found.held if found else {}
                assert held in states[synced:], (crash_at, disk.log[-3:], synced)
                looked += 1
    assert looked > 1_000


def small_file():
    disk = Forgetful()
    store = store_on(disk)
    states = [{}]
    for number, changes in enumerate(steps(3), 1):
        store.append(number, number, changes)
        states.append(dict(store.held))
    [name] = disk.names()
    return name, disk.present[name].data, states


def test_any_flipped_byte_is_found_and_what_follows_it_is_not_trusted():
    name, data, states = small_file()
    for at in range(len(data)):
        for bit in (1, 0x80):
            spoilt = bytearray(data)
            spoilt[at] ^= bit
            found, problem = read_file(name, bytes(spoilt))
            assert problem and name in problem, at
            assert found is None or found.held in states[1:-1], at


def test_any_truncation_reads_as_a_state_that_was_and_is_told_unless_it_falls_between_two_frames():
    name, data, states = small_file()
    ends = [offset for offset, _, _ in framing.frames(data)]
    for size in range(len(data)):
        found, problem = read_file(name, data[:size])
        assert found is None or found.held in states[1:], size
        assert problem or size in ends, size
        assert problem is None or "at byte" in problem


@given(st.binary(max_size=300), st.booleans())
@settings(max_examples=300, deadline=None, derandomize=True)
def test_random_bytes_are_no_state_and_no_exception(data, ours_first):
    begun = framing.begin(7) if ours_first else b""
    found, problem = read_file(file_name(7), begun + data)
    assert found is None and problem


@given(st.sampled_from(sorted(framing.KINDS)), st.binary(max_size=80))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_a_whole_frame_with_a_wrong_body_is_told_and_no_exception(kind, body):
    name, data, _ = small_file()
    spoilt = data + framing.frame(1, len(data), kind, body)
    try:
        found, problem = read_file(name, spoilt)
    except Newer:
        pytest.fail("a frame after the header is no header")
    assert found and (problem or kind == framing.CHANGED)


def begun(kind, body):
    """A file of a header and one more frame."""
    data = framing.begin(7) + framing.frame(7, framing.BEGIN, framing.HEADER, record.value_bytes(header()()))
    return data + framing.frame(7, len(data), kind, body)


@pytest.mark.parametrize(
    "data, words",
    [
        (b"", "no state file"),
        (b"SQLite format 3\x00" + bytes(90), "no state file"),
        (framing.MAGIC, "ends before"),
        (framing.begin(9), "its name is not"),
        (framing.begin(7) + bytes(64), "tells the length 0"),
        (framing.begin(7), "before its snapshot"),
        (framing.begin(7) + framing.frame(7, framing.BEGIN, b"w", b""), "no header"),
        (framing.begin(7) + framing.frame(8, framing.BEGIN, b"h", b""), "checksum"),
        (framing.begin(7) + framing.frame(7, framing.BEGIN, b"?", b""), "unknown kind"),
        (begun(framing.WHOLE, record.end_bytes(1, 1, 5)), "its snapshot holds 0 of 5 values"),
        (begun(framing.CHANGED, record.batch_bytes(1, 1, {})), "out of place"),
        (begun(framing.HEADER, b"\x90"), "out of place"),
        (begun(framing.HELD, b"\xc1"), "cannot be read"),
    ],
)
def test_what_is_wrong_with_a_file_is_said_in_one_sentence(data, words):
    found, problem = read_file(file_name(7), data)
    assert found is None and words in problem and "\n" not in problem


def test_a_newer_format_is_left_untouched_and_an_older_one_is_read():
    disk = Forgetful()
    store_on(disk, version=record.FORMAT + 1).append(1, 1, {b"f": b"x"})
    before = {name: inode.data for name, inode in disk.present.items()}
    with pytest.raises(Newer, match="format 3"):
        recover(disk, MOST)
    assert {name: inode.data for name, inode in disk.present.items()} == before
    old = Forgetful({path.name: path.read_bytes() for path in V1.iterdir()})
    found, problems = recover(old, MOST)
    kept = record.kept(found.header.format, found.held)
    assert found.header.format == 1 and not problems and sorted(kept.backends) == ["a", "b", "c", "d"]
    facts, links = kept.backends["a"]
    assert links["n"].time / links["n"].answered == 5e7 and links["n"].at == facts.at == 10**18
    assert kept.backends["c"][1]["n"].cut_at == 10**18 - 10**9 and kept.backends["d"][0].phase == "draining"
    again = record.kept(
        2,
        {
            key: record.value_bytes(value)
            for values in record.values_of(kept).values()
            for key, value in values.items()
        },
    )
    assert again == kept


def test_the_folder_never_passes_its_limit_and_says_when_it_is_too_small():
    disk, most = Forgetful(), 60_000
    store, rng = store_on(disk, most), random.Random(1)
    for number in range(400):
        store.append(number, number, {b"k%d" % rng.randrange(30): b"v" * rng.randrange(400)})
        assert sum(disk.size(name) for name in disk.names()) <= most
    with pytest.raises(OSError, match="more than most_mb"):
        store.append(1, 1, {b"large": b"v" * most})
    assert sum(disk.size(name) for name in disk.names()) <= most
    store.append(2, 2, {b"large": None})
    assert recover(disk, MOST)[0].held == store.held


def test_a_file_that_could_not_be_removed_is_removed_later_and_a_torn_one_aside_too():
    disk = Forgetful({file_name(3) + ".new": b"half"})
    store = store_on(disk)
    store.append(1, 1, {b"a": b"1"})
    disk.fails = {"unlink": errno.EIO}
    store.begin(2, 2)
    assert len(ours(disk.names())[0]) == 2 and recover(disk, MOST)[0].generation == store.generation
    disk.fails = {}
    store.begin(3, 3)
    assert disk.names() == [file_name(store.generation)] and store.generation == 6


@pytest.mark.parametrize("call", ["append", "sync"])
def test_nothing_is_built_on_a_file_whose_last_write_or_sync_failed(call):
    disk = Forgetful()
    store = store_on(disk)
    store.append(1, 1, {b"a": b"1"})
    disk.fails = {call: errno.ENOSPC}
    with pytest.raises(OSError, match="No space"):
        store.append(2, 2, {b"a": b"2", b"b": b"2"})
    disk.fails = {}
    store.append(3, 3, {b"c": b"3"})
    found, problems = recover(Forgetful(disk.after_crash(lambda n: True, lambda data: b"")), MOST)
    assert found.held == {b"a": b"2", b"b": b"2", b"c": b"3"} and not problems


class Model(RuleBasedStateMachine):
    """The store against a plain map, under everything that a disk may do."""

    @initialize()
    def begin(self):
        self.disk, self.states, self.synced, self.time = Forgetful(), [{}], 0, 0
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
        self._write(lambda: self.store.append(self.time, self.time, changes))

    @rule()
    def compact(self):
        self._write(lambda: self.store.begin(self.time, self.time))

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
        self._restart(self.store.held)

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
            self._write(lambda: self.store.append(self.time, self.time, changes))
            self._write(lambda: self.store.begin(self.time, self.time))
        except Crash:
            pass
        files = self.disk.after_crash(
            lambda n: kept >> n % 8 & 1,
            lambda data: data[:cut] if not zeros else bytes(min(cut, len(data))) + data[cut:],
        )
        self.disk = Forgetful(files)
        self.store = store_on(self.disk)
        self._restart(self.store.held)

    def _restart(self, held):
        assert held in self.states[self.synced :], (held, self.states[self.synced :])
        self.states, self.synced = [copy.deepcopy(held)], 0

    @invariant()
    def a_reader_beside_it_finds_a_whole_state(self):
        if hasattr(self, "disk"):
            found, _ = recover(self.disk, MOST)
            assert (found.held if found else {}) in self.states[self.synced :]


Model.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None, derandomize=True)
TestModel = Model.TestCase
