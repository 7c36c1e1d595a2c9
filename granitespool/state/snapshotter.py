"""The keeper: a coroutine of the loop that brings a coordinator's memory to the writer, and the record back.

It sweeps all backends each half of `every_ms`, a few at a time, so that no turn is felt and what was learnt
is on the disk within `every_ms` where the disk takes no longer than the other half."""

from granitespool import __version__
from granitespool.errors import InvalidInputError
from granitespool.state import record, restore_policy
from granitespool.state.disk import Folder
from granitespool.state.recovery import NONE, Memory
from granitespool.state.writer import Writer

SECOND = 1_000_000_000  # ns
MS = 1_000_000  # ns
OPEN_MOST = 0.4  # s that a start waits for the folder: who is up without a memory still serves
LAST_MOST = 0.25  # s for the last snapshot after SIGTERM: 0.7 s pass at least until SIGKILL
LINKS_A_STEP = 200  # links taken out in one step: a millisecond
NAMED_WAIT = SECOND // 20  # ns between looks whether any list has come


class Keeper:
    """Made before the coordinator, since the list to start from may be the record's; `start` follows it. Owns
    the writer, and gives it up in `close`."""

    def __init__(self, loop, log, options, name, settings, mono, folder=None):
        self.loop, self.log, self.options, self.mono = loop, log, options, mono
        self.identity = restore_policy.Identity(
            name,
            settings.class_names,
            list(settings.zones or ()),
        )
        self.memory = Memory(options, self.identity)
        self.coordinator = self.discovery = self.task = self._managed = None
        self.writer = Writer(
            folder or Folder(options.folder), options.most_mb, self._header, loop.wake, self._clocks
        )
        opened = self.writer.wait_opened(OPEN_MOST)
        if opened and opened.owned:
            raise InvalidInputError(opened.owned)
        for problem in opened.problems if opened else ():
            log.event("state_corrupt", reason=problem)
        if opened:
            carried = self.memory.opened(opened.found, opened.kept, opened.why, self._clocks())
            kept = opened.kept and opened.kept.managed
            if kept is not None and opened.found.header.name == name:
                self._managed = kept.base, kept.tree
                carried[record.MANAGED] = record.value_bytes(kept)
            if carried:
                self.writer.submit(carried)
        else:
            self.memory.why = "the folder could not be read in time"

    def managed(self):
        """(tree of the files, tree of the settings) as managers left them in a former life, or None. Unlike
        what was learnt they do not age, but they are this coordinator's alone."""
        return self._managed

    def keep_settings(self, tree, base, version):
        """Has settings outlast the process (None: those of the files hold); returns a ticket for `safe`."""
        return self.writer.submit(
            {
                record.MANAGED: None
                if tree is None
                else record.value_bytes(record.Managed(self.loop.now, version, base, tree))
            }
        )

    def figures(self):
        """(bytes written, batches, whether the disk fails) since the start."""
        return self.writer.written, self.writer.writes, self.writer.failing

    def safe(self, ticket):
        return self.writer.safe >= ticket

    def _header(self, start):
        return record.Header(record.FORMAT, *self.identity, *self._clocks(), start, __version__)

    def _clocks(self):
        return restore_policy.Clocks(self.loop.clock(), self.mono())

    def first_list(self, known):
        return self.memory.first_list(known)

    def start(self, coordinator, discovery):
        self.coordinator, self.discovery = coordinator, discovery
        self.task = self.loop.spawn(self._run())

    def new_options(self, options):
        """What may change while the service runs: how often, how much, how long it is believed."""
        self.options = options
        self.memory.new_options(options)
        self.writer.limit(options.most_mb)

    def _run(self):
        while not self.discovery.named:  # the first list that names anyone is the one to start from
            yield None, 0, self.loop.now + NAMED_WAIT
            self.tell()
        self._recall()
        while True:
            names = list(self.coordinator.listed())
            step = max(1, LINKS_A_STEP // max(1, len(self.identity.zones)))
            steps = [names[at : at + step] for at in range(0, len(names), step)] or [[]]
            pause = self.options.every_ms * MS // 2 // len(steps)
            for number, part in enumerate(steps, 1):
                self._hand_on(part, number == len(steps))
                yield None, 0, self.loop.now + pause
                self.tell()

    def _recall(self):
        belief, why = self.memory.recall(self.coordinator, self.loop.now, self._clocks()), self.memory.why
        if belief:
            self.log.event(
                "snapshot_restored",
                age_ms=(self.loop.now - self.memory.then.wall) // MS,
                backends=len(belief.backends),
                links=belief.links,
                ejected=belief.cuts,
                overloaded=belief.fleet["strained"],
                admitted_share=round(belief.fleet["room"], 3),
                skipped=belief.left,
                own_list=self.memory.own_list,
            )
        elif why != NONE:
            self.log.event("snapshot_ignored", reason=why)

    def _hand_on(self, names, last):
        changes = self.memory.changes(
            self.coordinator, self.discovery.addresses, self.discovery.index, self.loop.now, names, last
        )
        if changes:
            self.writer.submit(changes)

    def tell(self):
        for event, fields in self.writer.drain():
            self.log.event(event, **fields)

    def close(self):
        """A last snapshot, as far as the disk takes it in time."""
        if self.task is not None and self.discovery.named:
            self._hand_on(list(self.coordinator.listed()), True)
        if not self.writer.close(LAST_MOST):
            self.log.event("snapshot_not_saved", reason="the last snapshot was not safe in time")
        self.tell()
