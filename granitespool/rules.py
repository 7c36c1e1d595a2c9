"""All decisions of granitespool: one Planner for each coordinator instance.

The adapter makes Planner(host, now, seed, settings) when an instance starts, then calls one method for each
thing that happens, with the batch clock `now` in whole nanoseconds; the planner acts by calling the host at
once. The host's calls and the settings' names stand in granitespool/host.py, the mechanism in docs/design.md.
"""
import math
from collections import deque
from random import Random

SECOND = 1_000_000_000  # ns
ALPHA = 0.5             # per percent: steepness of f(u), the paper's
BETA = 80.0             # percent: where f(u) is half way up and a server counts as running over, the paper's
PERIOD = 1 * SECOND     # ns between recomputes: the period of the reports, so each weight move is small
RAMP_STEP = 5 * SECOND  # ns for each doubling of a new server's part: the design page's round
RAMP_START = 0.25       # part of its weight that a new or returned server starts at: the design page's
LOWEST_SPAN = 60 * SECOND  # ns that the lowest mean is looked for in: the design page's minute
KEEP = 0.92             # part of what was heard that a recompute carries on: a mean over some twelve seconds
PRIOR = 8.0             # answers that the average cost of a server's kind stands for
HEARD_LEAST = 3.0       # answers below which a server's mean is chance, so it counts as unheard
RESEND = 0.1            # part a weight must move by to be sent: the design page's tenth
CUT_REPORTS = 2         # reports running over before a cut: the design page's
CUT_TRIES = 5           # tries running that a cut for failures rests on: one or two failing are chance
LATE_PROBE = 2          # failing tries that a probe without an answer in time stands for
CUT_SHARE = 3           # at most one in this many listed ready servers is cut from a table: the design page's
LAST_RESORT = 0.02      # part of its weight that a server past the cap on cuts keeps: some tries to hear it
UNHEARD_PERIODS = 2     # periods that a cut server stays unheard before it comes back: the design page's
PACE = SECOND           # ns between looks at load and at cut servers: the period of the reports
CALL_AGAIN = SECOND     # ns before a failed list call is made again: under a tenth of the time allowed for it
MESSAGE_ROOM = 1.25     # times the shortest gap that keeps the messages to a proxy under their cap
RECENT = 0.1            # part of the fleet sums that each look carries on: late as they are, no lag is added
CALM_ERRORS = 0.05      # share failing at the middle server under which further tries find a healthy one
FAILING = 0.4           # share failing at one server, the others calm, that makes a second try worth its work
STRAINED_BUSY = 0.8     # part busy of the middle server, where told, under which slow answers are no overload
STRAINED_TIME = 0.65    # part of the shortest promised time: a mean above it means many answers come too late
CALM_TIME = 0.5         # part of the shortest promised time: below it there is room to spare
USUAL = 0.2             # part a look by which the share answered without strain follows: a few seconds
SHED_KEEP = 0.95        # part of the answered rate that is let in while strained: lets queues run down
SHED_STEP = 0.95        # factor a look while the strain lasts: the reports are two to three looks late
SHED_BACK = 1.08        # factor a look without strain: the less is refused, the less is asked again
SHED_LEAST = 0.2        # share of the work that is always let in: what is heard must not run dry
SHED_FLOOR = 0.1        # share of each class let in however low its benefit: the worst class counts too
SHED_MOVE = 0.03        # move of a level that is worth a message
PROBE_GAP = SECOND      # ns between probes of one server: each costs it some milliseconds of work
STORM = 0.5             # share of tries answered under which a young cold server waits
START_THROUGH = 0.3     # share of tries taken as answered by who starts among cold servers: a storm may be on
YOUNG = 0.5             # part of the warm-up in which it does: about half of its capacity is there then
LEAST_WEIGHT = 0.0001   # what rounding leaves of a weight above 0: a line must not vanish by it
NO_LIMIT = 1e6          # transactions a second at a proxy that stand for letting in all
SERIALS = 65536         # marks are whole numbers under this
ORDINARY = 0.3          # part of the channel's pace that ordinary changes may use: orders have a price
HEADS = 0.15            # part of the channel's pace that heads of messages may take: sets the gap between flushes
BIND_PART = 0.3         # part of the queue that binds may fill: learnt weights go first, and cost less before them
BIND_LATE = 0.45        # part that the binds of those may fill who wait long: more than moves, less than drains need
MARK_LOST = 8           # times the told pace that the whole channel may be slower; marks later than that are lost


class Link:
    """What the proxies of one zone met at a backend, and what that makes of it."""
    __slots__ = ("tries", "failed", "answered", "time", "lows", "over", "streak", "cut_at", "spare",
                 "ramp_from", "cost", "heard")

    def __init__(self):
        self.tries = self.failed = self.answered = self.time = 0.0
        self.lows = deque()
        self.over = self.streak = 0               # reports running over; tries running that failed
        self.cut_at, self.spare = None, False     # cut when; only down to a last resort
        self.ramp_from = self.cost = None


class Backend:
    """The one record of a backend."""
    __slots__ = ("id", "zone", "kind", "phase", "listed", "started", "ramp_from", "busy", "links", "sent",
                 "tried", "missed", "done", "spent", "probed_at", "missing", "proven", "gone_at")

    def __init__(self, backend):
        self.id, self.zone, self.kind, self.phase, self.listed, self.started = backend, None, None, "gone", 1.0, 0
        self.ramp_from = self.busy = None
        self.links, self.sent = {}, {}
        self.tried = self.missed = self.done = self.spent = 0.0
        self.probed_at, self.missing, self.gone_at = None, False, None  # missing: serves, but the list calls it gone
        self.proven = True                        # has answered, or stood in the first list

    def link(self, zone):
        return self.links.get(zone) or self.links.setdefault(zone, Link())


class Planner:
    def __init__(self, host, now, seed, settings):
        self.host, self.settings = host, settings
        self.jitter = Random(seed).uniform
        self.backends, self.proxies = {}, {}      # id -> Backend; id -> (zone, tables bound to, rate)
        self.unbound = {}                         # proxies that still wait for a table of this planner
        self.tables, self.average = {}, {}        # (zone, only its servers) -> table; zone -> cost, ns
        self.slices, self.moving = {}, {}         # slice in charge -> its lines; -> (free from, mark)
        self.classes = [{"promised_time": SECOND, "benefit": 1, **c} for c in settings.get("classes") or []]
        self.own = sum(1 << k for k, kind in enumerate(self.classes) if kind.get("own_zone_only"))
        self.levels = {}                          # table -> {class position: (share, retries)} as sent
        self.out, self.serial, self.waiting = deque(), 0, 0  # messages not known to have left the channel; lines
        self.flushed_at, self.next_flush, self.next_alarm, self.flush_due, self.ordinary_due = None, 0, 0, False, False
        self.short, self.shut_at = False, 0       # a rule line waits for room; when all was shut out for joiners
        self.credit = 5 * settings.get("lines_per_s", 1e9)
        self.lines, self.users = {}, {}  # lines for ordinary changes; table -> lines, users
        self.listed_once, self.failing, self.strained = False, False, False
        self.through = self.usual = 1.0           # share of all tries that is answered lately; while no strain
        self.room, self.asked = 1.0, {}           # share of work let in; class name -> transactions lately
        for zone in settings.get("zones") or []:
            self._table(zone)
        if settings.get("subscribe"):
            host.observe(True)
        host.wake(PERIOD, "round")
        host.wake(PACE, "pace")

    # ---- the list

    def list_news(self, now, form, entries):
        if form == "failed":
            self.host.wake(int(CALL_AGAIN * self.jitter(0.5, 1.5)), "observe")
            return
        seen = set()
        for entry in entries:
            self._entry(now, **entry)
            seen.add(entry["backend"])
        if form != "changes":
            for rec in self.backends.values():
                if rec.id not in seen:
                    self._entry(now, rec.id, rec.zone, rec.kind, None, "gone", rec.listed, 0)
        self.listed_once = True
        self._flush(now)

    def _entry(self, now, backend, zone, kind, cell, phase, weight, started):
        rec = self.backends.get(backend)
        if rec is None:
            rec = self.backends[backend] = Backend(backend)
            rec.gone_at = now if self.listed_once else None  # a former life shut out what its last list tells of
        # Where only a drain binds, a list that drops a server is checked by a probe: it may be an old or a wrong
        # one. Harm: one that died is kept until the probe, or the reports, tell.
        rec.missing = bool(phase == "gone" and rec.phase == "ready" and self.settings.get("drain_needs_entry"))
        if rec.missing:
            return self._probe(now, rec, True)
        if phase != "ready" and rec.phase == "ready":
            rec.gone_at = now
        fresh = phase == "ready" and (rec.phase != "ready" or started > rec.started)
        if fresh:
            # A list may name what is not there: who is new earns its ramp by an answer, where probes can tell.
            # Harm: half a second for each new server, more where only the probes' way is bad.
            rec.proven = not (self.listed_once and self.settings.get("probes"))
            if not rec.proven:
                self._probe(now, rec, True)
            rec.links.clear()
            rec.busy = None
            # At an instance's start nothing is heard of anyone: only those still cold are new, or a cold one
            # would get as much as the rest. They start over too: levels were lost, a storm may be on.
            cold = started and now - started < self.settings.get("cold_time", 0)
            rec.ramp_from = now if self.listed_once or cold else None
            if cold and not self.listed_once:
                self.through = START_THROUGH
        rec.zone, rec.kind, rec.phase, rec.started = zone, kind, phase, max(started, rec.started)
        rec.listed = weight if weight > 0 else 1.0

    # ---- time

    def timer(self, now, cookie):
        if cookie == "round":
            self.host.wake(PERIOD, "round")
            self._round(now)
        elif cookie == "pace":
            self.host.wake(PACE, "pace")
            self._pace(now)
        elif cookie == "flush":
            self.flush_due = False
            self._flush(now)
        elif cookie == "observe":
            self.host.observe(True)

    def _round(self, now):
        for rec in [r for r in self.backends.values() if r.phase == "gone" and not any(r.sent.values())
                    and now - (r.gone_at or 0) > LOWEST_SPAN]:
            del self.backends[rec.id]
        for zone in {zone: None for zone, _ in self.tables}:
            costs, kinds = [], {}
            for rec in self.backends.values():
                link = rec.link(zone)
                link.cost = self._cost(now, rec, link)
                if link.cost is not None and rec.phase == "ready" and link.cut_at is None:
                    costs.append(link.cost)
                    kinds.setdefault(rec.kind, []).append(link.cost)
                link.heard = link.answered if link.cost else 0.0
                link.tries, link.failed = link.tries * KEEP, link.failed * KEEP
                link.answered, link.time = link.answered * KEEP, link.time * KEEP
            self.average[zone] = sum(costs) / len(costs) if costs else None
            for rec in self.backends.values():
                link, like = rec.link(zone), kinds.get(rec.kind)
                if like:
                    link.cost = ((link.cost or 0) * link.heard + sum(like) / len(like) * PRIOR) / (link.heard + PRIOR)
        pace = self.settings.get("lines_per_s", 1e9)
        self.credit = min(self.credit + ORDINARY * pace * PERIOD / SECOND, 5 * pace)
        self.ordinary_due = True
        self._flush(now)

    def _cost(self, now, rec, link):
        """W = (p*2*RTT + (1-p)*RTT) * f(u), or None where too little was heard."""
        if link.answered < HEARD_LEAST:
            return None
        rtt, errors = link.time / link.answered, link.failed / link.tries
        link.lows.append((now, rtt))
        while link.lows[0][0] < now - LOWEST_SPAN:
            link.lows.popleft()
        if self.strained or self.room < 1:
            rtt = min(mean for _, mean in link.lows)
        u = self._utilization(link, rtt)
        return (errors * 2 * rtt + (1 - errors) * rtt) * (1 + 1 / (1 + math.exp(ALPHA * (BETA - u))))

    def _utilization(self, link, rtt):
        lowest = min((mean for _, mean in link.lows), default=rtt)
        return 100 * max(0.0, rtt - lowest) / rtt

    def _strain(self):
        """Tells trouble of the whole fleet from trouble of a few servers, by the server of the middle try."""
        heard = [rec for rec in self.backends.values() if rec.tried >= 1]
        if heard:
            errors = self._middle([(rec.missed / rec.tried, rec.tried) for rec in heard])
            mean = self._middle([(rec.spent / rec.done, rec.done) for rec in heard if rec.done])
            done = sum(rec.done for rec in heard)
            promised = min((kind["promised_time"] for kind in self.classes), default=SECOND)
            busy = self._middle([(rec.busy, rec.tried) for rec in heard if rec.busy is not None] or [(1, 1)])
            slow = mean > STRAINED_TIME * promised
            self.strained = slow and busy > STRAINED_BUSY
            calm = errors < CALM_ERRORS and mean < CALM_TIME * promised
            self.failing = calm and any(rec.tried >= HEARD_LEAST and rec.missed > FAILING * rec.tried
                                        for rec in self.backends.values())
            tries = sum(rec.tried for rec in heard)
            self.through = 1 - sum(rec.missed for rec in heard) / tries
            if not self.strained:
                self.usual += USUAL * (self.through - self.usual)
            self._shed(done)
        for rec in self.backends.values():
            rec.tried, rec.missed = rec.tried * RECENT, rec.missed * RECENT
            rec.done, rec.spent = rec.done * RECENT, rec.spent * RECENT
        for name in self.asked:
            self.asked[name] *= RECENT

    def _middle(self, pairs):
        half, value = sum(weight for _, weight in pairs) / 2, 0.0
        for value, weight in sorted(pairs):
            half -= weight
            if half <= 0:
                break
        return value

    def _shed(self, done):
        """How much work is let in: what is answered while the whole fleet strains, more as it eases."""
        asked = sum(self.asked.values())
        if self.strained and asked > 0:
            self.room = max(SHED_LEAST, min(self.room * SHED_STEP, SHED_KEEP * done / (asked * max(self.usual, SHED_LEAST))))
        elif not self.strained:
            self.room = min(1.0, self.room * SHED_BACK)

    def _shares(self):
        """The share let in of each class: least benefit per work goes first, by promised time for work."""
        classes = self.classes
        work = [self.asked.get(kind.get("name"), 0) * kind["promised_time"] for kind in classes]
        room, shares = self.room * sum(work), [1.0] * len(classes)
        if self.room >= 1 or not room or self.settings.get("admission") not in ("fraction", "per_second"):
            return shares
        room -= SHED_FLOOR * sum(work)
        value = [kind["benefit"] / (kind["promised_time"] or 1) for kind in classes]
        for k in sorted(range(len(classes)), key=lambda k: -value[k]):
            given = max(0.0, min(room, (1 - SHED_FLOOR) * work[k]))
            room -= given
            shares[k] = round(SHED_FLOOR + given / work[k], 3) if work[k] else 1.0
        return shares

    def _pace(self, now):
        self._strain()
        for rec in self.backends.values():
            if rec.phase == "ready" and not rec.proven:
                self._probe(now, rec)
            for zone, link in rec.links.items():
                if link.cut_at is None:
                    continue
                self._probe(now, rec)
                if not link.spare and now - link.cut_at >= UNHEARD_PERIODS * PERIOD:
                    rec.links[zone] = Link()
                    rec.links[zone].ramp_from = now
        lost_after = MARK_LOST * SECOND * self.settings.get("backlog_limit", 0) / self.settings.get("lines_per_s", 1)
        while self.out and now - self.out[0][2] > max(lost_after, 2 * MARK_LOST * SECOND):
            self.waiting -= sum(self.out.popleft()[1].values())
        self._flush(now)

    # ---- what is heard

    def heard(self, now, zone, backend, tries, failed, mean, window, load):
        rec = self.backends.get(backend)
        if rec is None or tries <= 0:
            return
        self._table(zone)
        link = rec.link(zone)
        rec.busy = load.get("busy", rec.busy)
        answered = max(0, tries - failed) if mean > 0 else 0
        if answered:
            self._prove(now, rec)
        link.tries, link.failed = link.tries + tries, link.failed + min(failed, tries)
        link.answered, link.time = link.answered + answered, link.time + answered * mean
        rec.tried, rec.missed = rec.tried + tries, rec.missed + min(failed, tries)
        rec.done, rec.spent = rec.done + answered, rec.spent + answered * mean
        # A report of failures alone is an alarm like u over 80%, once enough tries stand behind it: for quick
        # errors, hangs, silence, a cut link. u is none while the fleet strains: a cut would only move load.
        link.streak = 0 if failed < tries else link.streak + tries
        eased = not self.strained and self.room >= 1
        over = failed >= tries or bool(
            answered and eased and self._utilization(link, link.time / link.answered) > BETA)
        link.over = link.over + 1 if over else 0
        if link.cut_at is not None and not over:
            link.cut_at, link.ramp_from = None, now
            self._flush(now, rec)
        elif link.over >= CUT_REPORTS and link.cut_at is None and (link.streak >= CUT_TRIES or answered):
            self._cut(now, zone, link)
            self._flush(now, rec)
        elif failed >= tries:
            self._probe(now, rec)

    def _cut(self, now, zone, link):
        # Past the cap a server stays as a last resort: a zone cut off fails more than a third at once, and a
        # few tries tell when it heals. Should all fail alike, all weights fall alike and the table is whole.
        ready = [rec.link(zone) for rec in self.backends.values() if rec.phase == "ready"]
        out = sum(1 for each in ready if each.cut_at is not None and not each.spare)
        link.spare, link.cut_at = (out + 1) * CUT_SHARE > len(ready), now

    def _prove(self, now, rec):
        if not rec.proven:
            rec.proven, rec.ramp_from = True, now
            self._flush(now, rec)

    def _probe(self, now, rec, at_once=False):
        if self.settings.get("probes") and (at_once or rec.probed_at is None or now - rec.probed_at >= PROBE_GAP):
            rec.probed_at = now
            self.host.probe(rec.id)

    def probed(self, now, backend, status, took, load):
        """A silent probe confirms a report of failures and keeps a cut server out."""
        rec = self.backends.get(backend)
        if rec and status in ("ok", "full"):
            self._prove(now, rec)
        if rec is None or status not in ("timeout", "unreachable", "reset") or self.strained:
            return
        if rec.missing:
            rec.missing, rec.phase, rec.gone_at = False, "gone", now
        for zone, link in rec.links.items():
            if link.cut_at is not None:
                link.cut_at = now
            elif link.streak:
                # A probe may wait in the queue like a transaction: late, it is worth a few tries and no more.
                link.streak += LATE_PROBE if status == "timeout" else CUT_TRIES
                if link.streak >= CUT_TRIES:
                    self._cut(now, zone, link)
        self._flush(now, rec)

    def arrivals(self, now, proxy, grade, number, unanswered, window):
        self.asked[grade] = self.asked.get(grade, 0) + number

    def peer_said(self, now, peer, contents):
        pass

    # ---- proxies

    def joined(self, now, proxy, zone, standing, rate):
        self.left(now, proxy)
        self.proxies[proxy] = zone, set(), rate
        self._table(zone)
        if self.settings.get("slices"):
            for rec in self.backends.values():
                rec.sent.pop("out", None)         # what was shut out before did not reach this one
            return self._flush(now)
        held = self.settings.get("standing_lines", 0) if standing else len(self.backends)
        self.unbound[proxy] = held, now           # lines of others that it may hold; since when
        if not self.lines.get(self.tables[zone, False]):
            self._flush(now)
        self._bind(now, proxy)

    def left(self, now, proxy):
        for table in self.proxies.pop(proxy, (None, ()))[1]:
            del self.users[table][proxy]
        self.unbound.pop(proxy, None)
        for _, lines, _ in self.out:
            self.waiting -= lines.pop(proxy, 0)

    def applied(self, now, proxy, serial, took):
        if any(entry[0] == serial for entry in self.out):
            for number, lines, _ in self.out:     # what this proxy was sent before has left too; others' may wait
                self.waiting -= lines.pop(proxy, 0)
                if number == serial:
                    break
            while self.out and not self.out[0][1]:
                self.out.popleft()
            self._bind_next(now)

    # ---- slices

    def slice_load(self, now, table, grade, number, unanswered, window):
        pass

    def slice_given(self, now, table, ours):
        self.slices.pop(table, None)
        self.moving.pop(table, None)
        if ours:
            self.slices[table] = {}
            self.host.wake(0, "flush")            # its lines come with the same batch

    def slice_line(self, now, table, backend, weight):
        if table in self.slices:
            self.slices[table][backend] = weight

    # ---- orders

    def _cold(self, now, rec, part=1.0):
        """Is a server within its told warm-up, or within a part of it?"""
        warm_up = self.settings.get("cold_time", 3 * RAMP_STEP)
        return rec.ramp_from is not None and now - rec.started < part * warm_up

    def _table(self, zone):
        for own in (False, True)[:1 + bool(self.own)]:
            table = self.tables.setdefault((zone, own), len(self.tables))
            self.users.setdefault(table, {})
            self.lines.setdefault(table, 0)

    def _want(self, now, rec, zone, own):
        link = rec.link(zone)
        if rec.phase != "ready" or own and rec.zone != zone or rec.sent.get("out"):
            return 0.0
        if link.cut_at is not None and not (link.spare or own):
            return 0.0
        average, part = self.average.get(zone), 1.0
        if not rec.proven and not self.bare:
            return 0.0
        for since in (rec.ramp_from, link.ramp_from):
            if since is not None:
                part = min(part, RAMP_START * 2.0 ** ((now - since) // RAMP_STEP))
        if link.cut_at is not None:
            part = min(part, LAST_RESORT)
        if self._cold(now, rec):
            # In a storm of tries a quarter weight is many times a quarter of the work: a cold server gets its
            # part of what is answered. Harm: one that starts into a storm warms with little traffic.
            part *= self.through
            # Proxies that shun whoever fails them would crowd to one they have not met. Harm: in a jam every
            # server counts, so one half through its warm-up stays.
            crowds = self.through < STORM and self.settings.get("avoid_after")
            if crowds and self._cold(now, rec, YOUNG) and any(
                    r.phase == "ready" and not self._cold(now, r) for r in self.backends.values()):
                return 0.0
            average = min(average or 0, link.cost or 0)  # an idle cold server answers fast: no more for that
        cost = average / link.cost if average and link.cost else 1.0
        return max(LEAST_WEIGHT, round(rec.listed * cost * part, 4))

    def _flush(self, now, only=None):
        """Sends what differs from the wanted tables, of one backend or of all: what a rule needs first, then what
        moves most. Only that may use the second half of the channel; ordinary changes keep a pace of their own."""
        merging = now == self.flushed_at          # one reply, one message: more of it costs no head
        if now < self.next_flush and not merging:
            return self._flush_at(self.next_flush, now)
        if self.settings.get("slices"):
            return self._keep_slices(now)
        before, moves, touched, left = self.serial, [], set(), False
        held = now < self.next_alarm and not merging
        self.short = self.short and bool(only)
        self._shut_out(now)
        self.bare = not any(rec.phase == "ready" and rec.proven for rec in self.backends.values())
        for (zone, own), table in self.tables.items():
            for rec in (only,) if only else self.backends.values():
                want, sent = self._want(now, rec, zone, own), rec.sent.get(table, 0.0)
                if want == sent:
                    continue
                less, moved = want < sent * (1 - RESEND), abs(want - sent) if sent else rec.listed
                if rec.phase != "ready" or not self.lines[table]:
                    moves.append((0, table, rec.id, table, want))
                elif held:
                    self._flush_at(self.next_alarm, now)
                elif want == 0 or sent == 0 or less and (self._cold(now, rec) or rec.link(zone).cut_at is not None):
                    moves.append((1, -moved, rec.id, table, want))
                elif self.ordinary_due and moved > RESEND * sent:
                    moves.append((2, -moved, rec.id, table, want))
        if not only and not held:
            self.ordinary_due = False
        for urgency, _, backend, table, want in sorted(moves, key=lambda move: (move[0] > 0, move[1:])):
            rec, users = self.backends[backend], self.users[table]
            cost = len(users) * (1 if table in touched else 2 + self.settings.get("message_head", 0))
            if cost > (self._room(1), self._room(0.5), min(self._room(0.5), self.credit))[urgency]:
                left = left or self.credit > cost
                self.short = self.short or not urgency  # nothing else may use what frees until this fits
                continue
            self.credit -= cost * (urgency == 2)
            touched.add(table)
            self.host.weigh(table, rec.id, want)
            self.lines[table] += bool(want) - bool(rec.sent.get(table))
            rec.sent[table] = want
            self._tell(now, users)
        self._shut_out(now)
        if not only and not held:
            shares = self._shares()
            for (_, own), table in self.tables.items():
                if self._room(0.5) > 0:
                    self._levels(now, table, self.users[table], own, shares)
        if self.serial != before:
            self.flushed_at = now
        if self.serial != before and self.settings.get("messages_limit"):
            span = self.settings.get("messages_span", 10 * SECOND)
            self.next_flush = now + int(MESSAGE_ROOM * span / self.settings["messages_limit"])
        if self.serial != before and not held:
            heads = len(self.proxies) * (1 + self.settings.get("message_head", 0))
            gap = int(SECOND * heads / HEADS / self.settings.get("lines_per_s", 1e9))
            self.next_alarm = now + (gap // 4 if left else gap)
            if left:
                self._flush_at(self.next_alarm, now)
        if self.short:
            self._flush_at(self.next_flush or now + PERIOD // 4, now)
        self._bind_next(now)

    def _flush_at(self, when, now):
        if not self.flush_due:
            self.flush_due = True
            self.host.wake(when - now, "flush")

    def _shut_out(self, now):
        """Proxies not bound yet go on with tables of others: what drains or is gone is shut out of those too, all
        at once and when its lines have left the tables here, so that it costs at those proxies alone."""
        # What was shut out before did not reach those who joined since: once more for all of them, well in the grace.
        late = [since for _, since in self.unbound.values() if since >= self.shut_at]
        if late and now - min(late) >= self.settings.get("drain_grace", SECOND) / 3:
            self.shut_at = now
            for rec in self.backends.values():
                rec.sent.pop("out", None)
        turned = [rec for rec in self.backends.values() if not any(rec.sent.get(t) for t in self.users)
                  and rec.sent.get("out", False) != (rec.phase != "ready" and bool(self.unbound) and rec.gone_at is not None)]
        heads = len(self.unbound) * (1 + self.settings.get("message_head", 0))
        while turned and heads + sum(min(held, len(turned)) for held, _ in self.unbound.values()) > self._room(1):
            turned.pop()
            self.short = True
        for rec in turned:
            rec.sent["out"] = not rec.sent.get("out", False)
            self.host.withdraw(rec.id, rec.sent["out"])
        for proxy, (held, _) in self.unbound.items() if turned else ():
            self._count(now, proxy, min(held, len(turned)))

    def _room(self, part):
        """Lines that may still be put into the channel up to a part of its limit."""
        return part * self.settings.get("backlog_limit", 1e9) - self.waiting

    def _levels(self, now, table, users, own, shares):
        sent = self.levels.setdefault(table, {})
        for position, kind in enumerate(self.classes):
            if bool(self.own >> position & 1) != own:
                continue
            # In a storm each further try adds to it; while a few servers fail it finds a healthy one. What
            # must not run twice is only tried again when it never ran.
            retries = 0 if self.strained else 2 if self.failing and kind.get("effect") == "free" else 1
            share, had = shares[position], sent.get(position, (1.0, self.settings.get("usual_retry", 0)))
            if abs(share - had[0]) < SHED_MOVE and share < 1:
                share = had[0]
            if had != (share, retries):
                sent[position] = share, retries
                if self.settings.get("admission") == "per_second":
                    rate = self.asked.get(kind.get("name"), 0) * (1 - RECENT) / max(1, len(self.proxies))
                    share = share * rate if share < 1 else NO_LIMIT
                self.host.level(table, 1 << position, share, retries)
                self._tell(now, users)

    def _bind_next(self, now):
        """Joiners are bound in turn, as the channel has room, those with most traffic first."""
        soon = self.settings.get("empty_limit", SECOND) / 2
        for proxy in sorted(self.unbound, key=lambda proxy: (now - self.unbound[proxy][1] < soon,
                                                             -self.proxies[proxy][2])):
            if not self._bind(now, proxy):
                break

    def _bind(self, now, proxy):
        # Shut-outs may leave a joiner with nothing: who waits long goes before all but rule lines.
        since = self.unbound.get(proxy, (0, now))[1]
        part = min(BIND_LATE, BIND_PART + (now - since) / self.settings.get("empty_limit", SECOND))
        zone, bound, _ = self.proxies[proxy]
        rest = (1 << len(self.classes)) - 1 - self.own if self.own else 0
        for own, classes in ((False, rest), (True, self.own)):
            table = self.tables.get((zone, own))
            if table in bound or not self.lines.get(table):  # an empty table is worse than what the proxy holds
                continue
            cost = 1 + self.lines[table] + len(self.levels.get(table, ()))
            if self.short or cost + 1 + self.settings.get("message_head", 0) > self._room(part) and self.waiting > 0:
                return False
            bound.add(table)
            self.users[table][proxy] = None
            self.host.bind(proxy, table, classes)
            self._count(now, proxy, cost)
        if len(bound) == 1 + bool(self.own):
            self.unbound.pop(proxy, None)
        return True

    def _keep_slices(self, now):
        """Slices: the store's lines stand; only what drains or is lost is shut out and replaced."""
        for rec in self.backends.values():
            out = rec.phase != "ready"
            if out != rec.sent.get("out", False):
                rec.sent["out"] = out
                self.host.withdraw(rec.id, out)
                self._tell(now, self.proxies)
        ready = {rec.id: rec for rec in self.backends.values() if rec.phase == "ready"}
        for table, lines in self.slices.items():
            lost, alone = [b for b in lines if b not in ready], self.settings.get("one_owner")
            if not ready or lines and not lost:
                continue
            if len(lost) == len(lines) and alone and not self._may_move(now, table):
                continue
            if len(lost) == len(lines):
                held = [b for own in self.slices.values() for b in own]
                new = min(ready, key=lambda b: (self._cold(now, ready[b]), held.count(b)))
                self.host.weigh(table, new, 1.0)
                lines[new] = 1.0
                self._tell(now, self.proxies)
            for backend in lost:
                del lines[backend]
                if not alone:
                    self.host.weigh(table, backend, 0.0)
                    self._tell(now, self.proxies)
            if self.moving.pop(table, None):
                self.host.level(table, 0, 1.0, self.settings.get("usual_retry", 0))
                self._tell(now, self.proxies)

    def _may_move(self, now, table):
        """Two owners must not write at once: nothing is let in until the last one's writes and lease end."""
        if table not in self.moving:
            self.host.level(table, 0, 0.0, 0)
            self._tell(now, self.proxies)
            wait = sum(self.settings.get(k, SECOND) for k in ("lease", "write_life", "message_delay_worst"))
            self.moving[table] = now + wait, self.serial
            self.host.wake(wait, "flush")
            return False
        since, serial = self.moving[table]
        told = all(number != serial or not lines for number, lines, _ in self.out)
        if now >= since and not told:
            self.host.wake(SECOND, "flush")
        return now >= since and told

    def _tell(self, now, proxies):
        for proxy in proxies:
            self._count(now, proxy, 1)

    def _count(self, now, proxy, lines):
        """Books lines to the message that this reply sends a proxy; the first one asks for an answer."""
        if not self.out or self.out[-1][2] != now:
            self.serial = (self.serial + 1) % SERIALS
            self.out.append((self.serial, {}, now))
            self.host.mark(self.serial, False)
        booked = self.out[-1][1]
        lines += 0 if proxy in booked else self.settings.get("message_head", 0) + 1
        booked[proxy] = booked.get(proxy, 0) + lines
        self.waiting += lines
