"""The keeper: takes what was learnt out of the coordinator in small steps and hands it to the writer; at a start
it has what is believed of the record recalled.

One coroutine of the loop. It sweeps all backends each half of `every_ms`, a few at a time, so that no turn is felt
and what was learnt is on the disk within `every_ms` where the disk takes no longer than the other half."""
import time

from granitespool import __version__
from granitespool.settings import BadInput
from granitespool.state import record, trust
from granitespool.state.disk import Folder
from granitespool.state.ledger import Ledger
from granitespool.state.writer import Writer

SECOND = 1_000_000_000  # ns
MS = 1_000_000          # ns
OPEN_MOST = 0.4         # s that a start waits for the folder: a member that is up without a memory still serves
LAST_MOST = 0.25        # s for the last snapshot after SIGTERM: 0.7 s pass at least until SIGKILL
NONE = "the folder holds no record"  # a first start: no line is worth it
LINKS_A_STEP = 200      # links taken out in one step: half a millisecond


class Keeper:
    """Made before the coordinator, since the list to start from may be the record's; `start` follows it."""

    def __init__(self, loop, log, options, name, settings, mono=time.monotonic_ns, folder=None):
        self.loop, self.log, self.options, self.mono = loop, log, options, mono
        self.identity = trust.Identity(name, [kind.get("name") for kind in settings.get("classes") or ()],
                                       list(settings.get("zones") or ()))
        self.ledger = Ledger(int(options.half_life_s * SECOND))
        self.writer = Writer(folder or Folder(options.folder), options.most_mb, self._header, loop.wake,
                             lambda: (loop.clock(), mono()))
        self.opened = self.writer.wait_opened(OPEN_MOST)
        if self.opened and self.opened.owned:
            raise BadInput(self.opened.owned)
        self.then = trust.Clocks(0, 0)
        self.why = self._why()
        if self.opened and self.opened.kept and not self.why:
            # what was kept stays, with its age, until something newer takes its place
            self.ledger.written = record.values_of(self.opened.kept)
            self.writer.submit({key: record.value_bytes(value) for key, value in self.ledger.written.items()})
        self.own_list = False
        self.coordinator = self.discovery = self.task = None

    def _header(self, start):
        return record.Header(record.FORMAT, *self.identity, self.loop.clock(), self.mono(), start, __version__)

    def _clocks(self):
        return trust.Clocks(self.loop.clock(), self.mono())

    def _why(self):
        """Why the record is not believed at all, or None."""
        opened = self.opened
        if opened is None:
            return "the folder could not be read in time"
        for problem in opened.problems:
            self.log.event("state_torn", why=problem)
        if opened.kept is None:
            return opened.why or NONE
        self.then = trust.Clocks(*opened.found.clocks)
        return trust.doubt(opened.found.header, self.then, self._clocks(), self.identity,
                           int(self.options.oldest_s * SECOND))

    def first_list(self, known):
        """The list to start from: the record's, where it is believed and newer, else the one that was told."""
        kept = self.opened and self.opened.kept
        index = known.get("index")
        if kept is None or self.why:
            return known
        newer = trust.newer_list(kept, index if isinstance(index, int) else 0)
        self.own_list = newer is not None
        return newer or known

    def start(self, coordinator, discovery):
        self.coordinator, self.discovery = coordinator, discovery
        self.task = self.loop.spawn(self._run())

    def new_options(self, options):
        """What may change while the service runs: how often, how much, how long it is believed."""
        self.options = options
        self.writer.limit(options.most_mb)

    def _run(self):
        while not self.discovery.named:          # the first list that names anyone is the one to start from
            yield None, 0, self.loop.now + SECOND // 20
        self._recall()
        while True:
            names = list(self.coordinator.listed())
            step = max(1, LINKS_A_STEP // max(1, len(self.identity.zones)))
            steps = [names[at:at + step] for at in range(0, len(names), step)] or [[]]
            pause = self.options.every_ms * MS // 2 // len(steps)
            for part in steps:
                self._hand_on(part, part is steps[-1])
                yield None, 0, self.loop.now + pause
                self.tell()

    def _recall(self):
        kept, self.opened = self.opened and self.opened.kept, None  # the record is not needed any more
        if self.why:
            if self.why != NONE:
                self.log.event("recall_ignored", why=self.why)
            return
        now, listed, options = self._clocks(), self.coordinator.listed(), self.options
        belief = trust.believed(kept, self.then, now, listed, frozenset(self.identity.zones), self.own_list,
                                int(options.half_life_s * SECOND), int(options.oldest_s * SECOND))
        self.coordinator.report(self.loop.now, "recalled", fleet=belief.fleet, backends=belief.backends)
        self.log.event("recalled", age_ms=(now.wall - self.then.wall) // MS, backends=len(belief.backends),
                       links=belief.links, cuts=belief.cuts, strained=belief.fleet["strained"],
                       room=round(belief.fleet["room"], 3), left_out=belief.left, list=self.own_list)

    def _hand_on(self, names, all_seen):
        """Takes these backends out, with the fleet and what is gone after the last of them."""
        fleet, backends = self.coordinator.learnt(names)
        values = record.values(fleet if all_seen else None, backends, self.discovery.addresses,
                               self.discovery.index, self.loop.now)
        changes = {key: record.value_bytes(value) for key, value in self.ledger.due(values).items()}
        if all_seen:
            changes.update(dict.fromkeys(self.ledger.gone(self.coordinator.listed())))
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
            self.log.event("state_unsafe", why="the last snapshot was not safe in time")
        self.tell()
