"""Several real Coordinators in virtual time before the same backends and proxies, who write what they see.

Built on `storm.Storm`, which counts and paces what one coordinator writes. What is added: proxies that keep
their tables and shut-outs when they go from one coordinator to another and hold only what has arrived;
backends that drain, die and come back cold; a list that each coordinator is told later or sooner, or twice;
reports past an intake; requests whose effect must happen once. All of it is written as events of
`granitespool.scale.trace`, for the checker of the rules. Chance is one seeded generator."""

from collections import defaultdict
from random import Random

import msgspec
from storm import SECOND, TURN, Storm, lines_of
from support.records import settings_of

from granitespool.coordinator import PROBES, Coordinator
from granitespool.net.frames import HEAD, updates
from granitespool.scale.trace import (
    BackendListed,
    BackendLoad,
    ChannelBacklog,
    CoordinatorEnded,
    CoordinatorStarted,
    Limits,
    MessageWritten,
    ProxyJoined,
    ProxyLeft,
    RequestExecuted,
    TableHeld,
)

BEGIN = 100 * SECOND  # ns: a Storm's clock begins here
ZONES = 3
COLD_TIME, COLD_SHARE = 17 * SECOND, 0.2
SETTINGS = {
    "message_header": 3.0,
    "messages_limit": 30,
    "messages_span": 10 * SECOND,
    "empty_table_limit": 5 * SECOND,
    "warm_up_time": COLD_TIME,
    "warm_up_start_share": COLD_SHARE,
    "overload_multiple": 4.0,
    "overload_time": 2 * SECOND,
    "bootstrap_entries": 5,
    "default_retries": 0,
    "health_checks_allowed": True,
}
TABLE_REST = 7  # lines of a message beside those of backends: its head, mark, `whole` and levels
DRAIN_REST = 4  # the same of a message that takes backends out: its head and mark
GRACE_LEAST = 3_300_000_000  # ns
BACKLOG_TIME = 2  # s at the told pace that a full channel holds at least
LOAD = 0.6  # of what the first fleet can do warm
REST = 2 / 3  # of the first fleet that stay ready and warm at least: less is no capacity to plan with
ANSWER = SECOND // 10  # ns that a backend takes which is not pressed
TRIES = 20.0  # a second and proxy
REQUESTS = 2  # with an effect that must happen once, a second and proxy
LOST_SHARE = 0.05  # of those, whose answer is lost after the effect
DIAL = SECOND // 2  # ns until a proxy that lost its stream has joined elsewhere
LOADS_EVERY = 5  # turns
STOPS_AFTER = 8 * SECOND  # ns from a backend's drain to its end
BACK_AFTER = 4 * SECOND  # ns from a backend's end to its return


class Backend:
    """The truth about one backend."""

    def __init__(self, name):
        self.name, self.phase, self.started = name, "ready", 0

    def can(self, now):
        """The part of its warm work that it can do."""
        age = 1.0 if not self.started else min(1.0, (now - self.started) / COLD_TIME)
        return COLD_SHARE + (1 - COLD_SHARE) * age

    def cold(self, now):
        return bool(self.started) and now - self.started < COLD_TIME

    def entry(self):
        return self.name, self.phase, self.started


class Proxy:
    """What a proxy holds, whoever ordered it."""

    def __init__(self, number, home):
        self.number, self.home, self.coordinator = number, home, None
        self.zone = f"z{number % ZONES}"
        self.ordered = False  # does it hold a table that was ordered
        self.lines, self.shut_out, self.retries = {}, set(), {}
        self.starts_told, self.written_at = {}, 0  # what its last message's coordinator knows; written when

    def open(self):
        return {name: weight for name, weight in self.lines.items() if name not in self.shut_out}

    def apply(self, order):
        for _, whole, lines in order["tables"]:
            if whole:
                self.lines, self.retries = {}, {}
            self.lines.update(lines)
        self.lines = {name: weight for name, weight in self.lines.items() if weight}
        for classes, _, retries in order["levels"]:
            self.retries.update(dict.fromkeys(classes if classes is not None else ("a", "b"), retries))
        self.shut_out |= set(order["out"])
        self.shut_out -= set(order["back"])
        self.ordered = True


class TracedStorm(Storm):
    """One coordinator, its channel, what it was told of the list and what waits for its intake."""

    def __init__(self, fleet, name, **settings):
        self.fleet, self.name, self.life = fleet, name, 0
        self.told, self.starts_told = {}, {}  # backend -> phase; backend -> (started, told at)
        self.on_the_way, self.intake, self.saw_waiting = [], {}, 0
        self.delay, self.list_position, self.up_at = 0, 0, None
        super().__init__(len(fleet.backends), ZONES, **settings)

    @property
    def up(self):
        return self.up_at is None

    def lists(self, form, entries):
        entries = list(entries)
        if form != "changes":
            named = {name for name, _, _ in entries}
            absent = [name for name, phase in self.told.items() if phase != "gone" and name not in named]
        else:
            absent = []
        for name, phase, started in [*entries, *((name, "gone", 0) for name in absent)]:
            self.told[name] = phase
            if started and self.starts_told.get(name, (0, 0))[0] != started:
                self.starts_told[name] = started, self.now
            listed = {"backend": name, "phase": phase, "started": started}
            self.fleet.saw(BackendListed(at=self.now, coordinator=self.name, **listed))
        super().lists(form, entries)

    def catch_up(self):
        """Takes the changes of the list that are due here."""
        history = self.fleet.history
        while self.list_position < len(history):
            at, entries = history[self.list_position]
            if at + self.delay > self.now:
                return
            self.list_position += 1
            self.lists("changes", entries)

    def again(self):
        """The last change that it was told is told once more."""
        if self.list_position:
            self.lists("changes", self.fleet.history[self.list_position - 1][1])

    def whole(self):
        """A whole list of now, which skips what was not told yet."""
        self.list_position = len(self.fleet.history)
        self.lists("whole", self.fleet.whole_list())

    def take(self, proxy):
        self.join(proxy.number, standing=not proxy.ordered)
        proxy.coordinator = self
        self.fleet.saw(ProxyJoined(at=self.now, proxy=proxy.number, coordinator=self.name))

    def lose(self, proxy):
        self.leave(proxy.number)
        self.on_the_way = [each for each in self.on_the_way if each[1] is not proxy]
        proxy.coordinator = None
        self.fleet.saw(ProxyLeft(at=self.now, proxy=proxy.number, coordinator=self.name))

    def end(self, downtime):
        """The process ends: what waits in its channel is lost, its proxies go elsewhere."""
        self.fleet.saw(CoordinatorEnded(at=self.now, coordinator=self.name))
        for number in list(self.joined):
            self.lose(self.fleet.proxies[number])
        self.up_at = self.now + downtime
        self.life += 1

    def start(self):
        """A new process, which knows the list as it was told it last and nothing else."""
        self.up_at = None
        self.told, self.starts_told, self.intake = {}, {}, {}
        self.queue.clear()
        self.waits, self.free_at, self.holds = 0, 0.0, {}
        self.coordinator = Coordinator(settings_of(self.settings), 7 + self.life, self.now)
        self.lists("restored", self.fleet.whole_list(self.list_position))
        self.fleet.saw(CoordinatorStarted(at=self.now, coordinator=self.name))

    def turn(self, ahead=TURN):
        if not self.up:
            self.now += ahead
            return
        self.catch_up()
        while (name := self.coordinator.pick(PROBES)) is not None:
            self._probe(name)
        super().turn(ahead)
        self._saw_waiting()
        self._arrive()

    def _probe(self, name):
        backend = self.fleet.backends.get(name)
        running = backend is not None and backend.phase != "gone"
        status = "ok" if running and backend.phase == "ready" else "full" if running else "unreachable"
        self.coordinator.report(self.now, "probed", backend=name, status=status, took=10**6, load={})

    def _held(self, proxy, order):
        """One message was written: it leaves the channel at `free_at`."""
        data = updates(order)
        lines, parts = lines_of(data)
        largest, at = 0, 0
        while at < len(data):
            size = int.from_bytes(data[at : at + HEAD], "little")
            largest, at = max(largest, size), at + HEAD + size
        self.fleet.saw(
            MessageWritten(
                at=self.now,
                coordinator=self.name,
                proxy=proxy,
                entries=lines,
                parts=parts,
                largest_part=largest,
            )
        )
        self._saw_waiting()
        self.on_the_way.append((self.free_at, self.fleet.proxies[proxy], order, self.now))

    def _saw_waiting(self):
        if self.waits != self.saw_waiting:
            self.saw_waiting = self.waits
            self.fleet.saw(ChannelBacklog(at=self.now, coordinator=self.name, entries=self.waits))

    def _arrive(self):
        arrived = [each for each in self.on_the_way if each[0] <= self.now]
        self.on_the_way = [each for each in self.on_the_way if each[0] > self.now]
        for _, proxy, order, written_at in arrived:
            proxy.apply(order)
            proxy.starts_told, proxy.written_at = self.starts_told, written_at
            self.fleet.saw_table(proxy, self.now)

    def hear_later(self, zone, name, tries, failed, mean):
        """A report that waits for its turn at the intake; what waits adds up."""
        kept = self.intake.setdefault((zone, name), [0.0, 0.0, 0.0, 0])
        answered = tries - failed
        kept[0] += tries
        kept[1] += failed
        kept[2] += answered * mean
        kept[3] += SECOND

    def take_in(self, most):
        for zone, name in list(self.intake)[:most]:
            tries, failed, spent, window = self.intake.pop((zone, name))
            answered = tries - failed
            met = {"tries": round(tries), "failed": round(failed), "window": window, "load": {}}
            mean = round(spent / answered) if answered else 0
            self.coordinator.report(self.now, "heard", zone=zone, backend=name, mean=mean, **met)


class Channel(msgspec.Struct, frozen=True):
    """What a fleet's settings tell of its channels, and of the drains that must pass them."""

    pace: float  # lines a second
    backlog_limit: float  # lines
    drain_grace: int  # ns

    @classmethod
    def fitting(cls, coordinators, proxies, backends, table_takes):
        """As the platform sets it: what cannot be put off fits twice, with all proxies on one coordinator;
        here that is the drains of all that may drain at a time. `table_takes`: seconds that a channel takes
        for one whole table."""
        pace = (backends + TABLE_REST) / table_takes
        drains = coordinators * proxies * (int((1 - REST) * backends) + DRAIN_REST)
        grace = max(GRACE_LEAST, round(2 * drains / pace * SECOND))
        return cls(pace, max(2 * drains, BACKLOG_TIME * pace), grace)


class Fleet:
    """Coordinators, proxies and backends; `trace` is in order of time once `events` has sorted it.

    `proxies` are each coordinator's, `intake` is reports a second, `slowed` how many times slower the
    channels are than told.
    """

    def __init__(self, channel, coordinators, proxies, backends, intake=1000, slowed=1, seed=1):
        self.random, self.channel, self.intake, self.slowed = Random(seed), channel, intake, slowed
        self.trace, self.now, self.turns, self.request = [], BEGIN, 0, 0
        self.backends = {f"s{number}": Backend(f"s{number}") for number in range(1, backends + 1)}
        self.first, self.later = backends, []  # later: (when, what happens to a backend, its name)
        self.history = []  # (at, entries) of each change of the list
        self.names = backends
        first_list = self.whole_list()
        settings = {
            **SETTINGS,
            "entries_per_s": channel.pace,
            "backlog_limit": channel.backlog_limit,
            "drain_grace": channel.drain_grace,
            "proxies_expected": coordinators * proxies,
            "coordinators": coordinators,
        }
        self.storms = [
            TracedStorm(self, f"c{number}", slowed=slowed, **settings) for number in range(coordinators)
        ]
        self.first_list = first_list
        self.dialling = []  # (when, proxy, coordinator's number)
        self.proxies = {
            number: Proxy(number, number % coordinators) for number in range(coordinators * proxies)
        }
        for storm in self.storms:
            self.saw(CoordinatorStarted(at=self.now, coordinator=storm.name))
        for proxy in self.proxies.values():
            standing = self.random.sample(sorted(self.backends), min(5, backends))
            proxy.lines = dict.fromkeys(standing, 1.0)
            self.saw_table(proxy, self.now)
            self.storms[proxy.home].take(proxy)

    def saw(self, event):
        self.trace.append(event)

    def saw_table(self, proxy, now):
        shut_out = frozenset(proxy.shut_out)
        self.saw(TableHeld(at=now, proxy=proxy.number, weights=dict(proxy.lines), excluded=shut_out))

    def limits(self):
        """The rules' figures; the times grow by the factor that the channels are slower than told."""
        return Limits(
            drain_grace=self.slowed * self.channel.drain_grace,
            empty_limit=self.slowed * SETTINGS["empty_table_limit"],
            overload_multiple=SETTINGS["overload_multiple"],
            overload_time=self.slowed * SETTINGS["overload_time"],
            backlog_limit=self.channel.backlog_limit,
            messages_limit=SETTINGS["messages_limit"],
            messages_span=SETTINGS["messages_span"],
            warm_up_time=COLD_TIME,
        )

    def events(self):
        """The trace in order of time; what was seen at one time stays in the order in which it was seen."""
        return sorted(self.trace, key=lambda event: event.at)

    # The list

    def whole_list(self, position=None):
        """Entries of who is listed after so many changes (all: now)."""
        if position is None:
            return [each.entry() for each in self.backends.values() if each.phase != "gone"]
        listed = {name: (name, phase, started) for name, phase, started in self.first_list}
        for _, entries in self.history[:position]:
            for name, phase, started in entries:
                listed[name] = (name, phase, started)
        return [entry for entry in listed.values() if entry[1] != "gone"]

    def change(self, backends):
        self.history.append((self.now, [each.entry() for each in backends]))

    def ready(self):
        return [each for each in self.backends.values() if each.phase == "ready"]

    def spare(self, number):
        """So many of the ready backends, longest there first, where enough warm ones stay."""
        ready = self.ready()
        warm = [each for each in ready if not each.cold(self.now)]
        number = min(number, len(warm) - int(REST * self.first) - 1)
        return warm[: max(0, number)]

    def at(self, delay, what, backends):
        self.later += [(self.now + delay, what, each.name) for each in backends]

    def release(self, number):
        """New backends come, and the old ones they stand for drain and end."""
        old = self.spare(number)
        new = []
        for _ in old:
            self.names += 1
            backend = Backend(f"s{self.names}")
            backend.started = self.now
            self.backends[backend.name] = backend
            new.append(backend)
        for backend in old:
            backend.phase = "draining"
        if old:
            self.change([*old, *new])
        self.at(STOPS_AFTER, "gone", old)

    def restart(self, number):
        """Backends drain, end, and come back cold under their names."""
        old = self.spare(number)
        for backend in old:
            backend.phase = "draining"
        if old:
            self.change(old)
        self.at(2 * SECOND, "gone", old)
        self.at(2 * SECOND + BACK_AFTER, "ready", old)

    def crash(self, number):
        """Backends end at once, and come back cold."""
        lost = self.spare(number)
        for backend in lost:
            backend.phase = "gone"
        if lost:
            self.change(lost)
        self.at(BACK_AFTER, "ready", lost)

    def _happen(self):
        due = [each for each in self.later if each[0] <= self.now]
        self.later = [each for each in self.later if each[0] > self.now]
        for _, what, name in due:
            backend = self.backends[name]
            backend.phase = what
            if what == "ready":
                backend.started = self.now
            self.change([backend])

    # Coordinators and proxies

    def up(self):
        return [storm for storm in self.storms if storm.up]

    def dies(self, number, downtime):
        """A coordinator ends, its proxies join the others and stay there; the last one is spared."""
        storm = self.storms[number % len(self.storms)]
        if storm.up and len(self.up()) > 1:
            leaving = [self.proxies[each] for each in storm.joined]
            storm.end(downtime)
            for proxy in leaving:
                self._dial(proxy)

    def loses(self, number):
        """So many proxies lose their streams, and join anew where they may."""
        joined = [proxy for proxy in self.proxies.values() if proxy.coordinator]
        for proxy in self.random.sample(joined, min(number, len(joined))):
            proxy.coordinator.lose(proxy)
            self._dial(proxy)

    def go_home(self):
        """Who is elsewhere goes back to its own coordinator, where that is up."""
        for proxy in self.proxies.values():
            home = self.storms[proxy.home]
            if home.up and proxy.coordinator not in (None, home):
                proxy.coordinator.lose(proxy)
                self.dialling.append((self.now + DIAL, proxy, home))

    def _dial(self, proxy):
        storm = self.random.choice(self.up())
        self.dialling.append((self.now + DIAL + self.random.randrange(DIAL), proxy, storm))

    def _join(self):
        due = [each for each in self.dialling if each[0] <= self.now]
        self.dialling = [each for each in self.dialling if each[0] > self.now]
        for _, proxy, storm in due:
            if storm.up:
                storm.take(proxy)
            else:
                self._dial(proxy)

    # Traffic

    def _parts(self, proxy):
        """{backend: part of its tries}; what is refused by who takes nothing new is tried once elsewhere,
        where it may be tried again."""
        lines = proxy.open()
        whole = sum(lines.values())
        if not whole:
            return {}
        parts = {name: weight / whole for name, weight in lines.items()}
        taken = {name: part for name, part in parts.items() if self.backends[name].phase == "ready"}
        refused = 1 - sum(taken.values())
        if taken and refused > 0 and any(proxy.retries.values()):
            more = refused / sum(taken.values())
            parts.update({name: part * (1 + more) for name, part in taken.items()})
        return parts

    def _knows(self, proxy, backend):
        """Whether the work it sends there counts as sent with knowledge of the start."""
        knowing = proxy.starts_told.get(backend.name, (0, 0))
        if knowing[0] == backend.started and proxy.written_at >= knowing[1]:
            return True
        known = proxy.coordinator.starts_told.get(backend.name, (0, 0)) if proxy.coordinator else (0, 0)
        return known[0] == backend.started and self.now - known[1] >= self.channel.drain_grace

    def loads(self):
        """{backend: (work, the part of it that knows)}, 1 for what one can do warm."""
        met = defaultdict(lambda: [0.0, 0.0])
        each = LOAD * self.first / len(self.proxies)
        for proxy in self.proxies.values():
            for name, part in self._parts(proxy).items():
                met[name][0] += each * part
                met[name][1] += each * part * self._knows(proxy, self.backends[name])
        return met

    def _load_events(self):
        met = self.loads()
        for backend in self.backends.values():
            if backend.started and backend.phase == "ready":
                work, knowing = met.get(backend.name, (0.0, 0.0))
                self.saw(
                    BackendLoad(
                        at=self.now,
                        backend=backend.name,
                        multiple=work / backend.can(self.now),
                        warming_up=backend.cold(self.now),
                        informed_share=knowing / work if work else 0.0,
                    )
                )

    def _reports(self):
        met = self.loads()
        for storm in self.up():
            by_zone = defaultdict(float)
            for number in storm.joined:
                proxy = self.proxies[number]
                for name, part in self._parts(proxy).items():
                    by_zone[proxy.zone, name] += TRIES * part
                storm.coordinator.report(
                    self.now,
                    "arrivals",
                    proxy=number,
                    grade="b",
                    number=round(TRIES),
                    unanswered=0,
                    window=SECOND,
                )
            for (zone, name), tries in by_zone.items():
                backend = self.backends[name]
                pressed = met[name][0] / backend.can(self.now)
                failed = tries if backend.phase != "ready" else tries * max(0.0, 1 - 1 / max(1.0, pressed))
                mean = ANSWER * (1 + min(4.0, pressed))
                storm.hear_later(zone, name, tries, failed, mean)
            storm.take_in(self.intake)

    def _requests(self):
        """Requests whose effect must happen once, tried again as their proxy was told."""
        for proxy in self.proxies.values():
            for _ in range(REQUESTS if proxy.coordinator else 0):
                self.request += 1
                self._request(proxy, proxy.open(), proxy.retries.get("b", SETTINGS["default_retries"]))

    def _request(self, proxy, lines, retries):
        tries = {0: 1, 1: 2, 2: 2, 3: 3}[retries]
        for _ in range(min(tries, len(lines))):
            name = self.random.choices(list(lines), list(lines.values()))[0]
            lines = {each: weight for each, weight in lines.items() if each != name}
            if self.backends[name].phase != "ready":
                continue  # refused: it provably never ran
            self.saw(RequestExecuted(at=self.now, request=self.request, backend=name, effect="single_shot"))
            lost = self.random.random() < LOST_SHARE
            if not lost or retries < 2:  # only after proof that it never ran is it tried again
                return

    def turn(self):
        """One turn of all, in step."""
        self._happen()
        for storm in self.storms:
            if storm.up_at is not None and storm.up_at <= self.now:
                storm.start()
        self._join()
        if self.turns % LOADS_EVERY == 0:
            self._load_events()
        if self.now % SECOND == 0:
            self._reports()
            self._requests()
        for storm in self.storms:
            storm.turn()
        self.turns += 1
        self.now += TURN

    def run(self, seconds):
        end = self.now + round(seconds * SECOND)
        while self.now < end:
            self.turn()
