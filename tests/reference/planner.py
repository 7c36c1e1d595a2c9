"""The planner as it was before it looked only at what changed: the reference of planner/test_dirty_set.py.

It walks every backend, zone and table at each flush. It is kept as it stood, but for decisions that were
changed on purpose since, which are changed in both: joiners are bound within a third of the grace and before
newer drains, and levels are ordered by groups of classes, for tables that somebody uses.

All decisions of granitespool: one Planner for each coordinator instance.

Made when an instance starts; then one method is called for each thing that happens, with the batch clock in
whole nanoseconds, and it acts by calling the host at once (granitespool/host.py; docs/design.md)."""

import math
from collections import Counter, defaultdict, deque
from random import Random

from reference.channel import Channel
from reference.subsets import Subsets

SECOND = 1_000_000_000  # ns
ALPHA = 0.5  # per percent: steepness of f(u), the paper's
BETA = 80.0  # percent: where f(u) is half way up and a server counts as running over, the paper's
PERIOD = 1 * SECOND  # ns between recomputes: the period of the reports, so each weight move is small
RAMP_STEP = 5 * SECOND  # ns for each doubling of a new server's part: the design page's round
RAMP_DONE = 40  # doublings after which a ramp is over whatever it began at; past 1,023 a float ends
RAMP_START = 0.25  # part of its weight that a new or returned server starts at: the design page's
LOWEST_SPAN = 60 * SECOND  # ns that the lowest mean is looked for in: the design page's minute
GONE_KEPT = 20 * SECOND  # ns that who is gone is known: joiners with old tables are bound in a few seconds
KEEP = 0.92  # part of what was heard that a recompute carries on: a mean over some twelve seconds
PRIOR = 8.0  # answers that the average cost of a server's kind stands for
HEARD_LEAST = 3.0  # answers below which a server's mean is chance, so it counts as unheard
RESEND = 0.1  # part a weight must move by to be sent: the design page's tenth
CUT_REPORTS = 2  # reports running over before a cut: the design page's
CUT_TRIES = 5  # tries running that a cut for failures rests on: one or two failing are chance
REFUSAL = SECOND // 4  # ns: a refusal is quick; one that took longer is of a server whose own check hung
LATE_PROBE = 2  # failing tries that a probe without an answer in time stands for
CUT_SHARE = 3  # at most one in this many listed ready servers is cut from a table: the design page's
LAST_RESORT = 0.02  # part of its weight that a server past the cap on cuts keeps: some tries to hear it
UNHEARD_PERIODS = 2  # periods that a cut server stays unheard before it comes back: the design page's
MESSAGE_ROOM = 1.25  # times the shortest gap that keeps the messages to a proxy under their cap
RECENT = 0.1  # part of the fleet sums that each look carries on: late as they are, no lag is added
STRAINED_TIME = 0.65  # part of the shortest promised time: a mean above it means many answers come too late
LOOK_LEAST = 20  # tries under which a look at the fleet is chance: the first reports after a start
CALM_TIME = 0.5  # part of the shortest promised time: a mean under it ends a strain
SHED_STEP = 0.95  # factor a look while the strain lasts, of what is let in and of what is answered
SHED_BACK = 1.08  # factor a look without strain: the less is refused, the less is asked again
SHED_LEAST = 0.2  # share of the work that is always let in: what is heard must not run dry
SHED_FLOOR = 0.1  # share of each class let in however low its benefit: the worst class counts too
SHED_MOVE = 0.03  # step of a level that is worth a message
GUARD = 0.5  # part of the told multiple of its work that a cold server is let have in a storm
START_THROUGH = 0.3  # share of tries taken as answered by who starts among cold servers: a storm may be on
LEAST_WEIGHT = 0.0001  # what rounding leaves of a weight above 0: a line must not vanish by it
LEVELS = 4  # orders that let all classes in at most: whole, as good as whole, one in part, the floor
NO_LIMIT = 1e6  # transactions a second at a proxy that stand for letting in all
ORDINARY = 0.15  # part of the channel's pace that ordinary changes may use: orders have a price
HEADS = 0.15  # part of the channel's pace for heads of messages: sets the gap between flushes
RULE_PART = 0.94  # part of the queue's limit that rule lines may fill: what joiners hold is a guess
JOIN_PART = 0.2  # part that moves may fill while anyone is to be bound: binds go first
AHEAD = 2 * SECOND  # ns at the met pace that moves may wait in the channel: a drain would be behind them
FEW = 8  # a table that at most one in so many proxies uses: a message to all of them is cheap
BIND_PART = 0.35  # part of the queue that binds may fill: drains need the rest
BIND_TIME = 1 / 3  # part of the grace that what they fill may take at the met pace: a drain waits behind it
IN_TIME = 0.5  # part of the drain's grace: who is bound within it needs nothing shut out
TOGETHER = 1 / 6  # part of the grace that joiners wait for others, to be told at once what is shut out
KEPT = 2  # graces after which a drain needs no telling: who had the joiners before has kept it
DOUBT = 3 * SECOND  # ns that a remembered strain holds unless it is met: reports of the first two seconds
REMEMBERED = "phase", "zone", "kind", "listed", "started", "gone_at", "ramp_from", "proven", "missing"
MET = "tries", "failed", "answered", "time", "over", "streak", "cut_at", "ramp_from"  # of a link
DISAGREE = 2.5  # factor between means that is no chance: an eighth of three answers' means pass it
DISAGREE_FAILED = 0.35  # the same of shares that failed
SAVED = 5  # s of the channel's pace that ordinary changes may save up: the design page's period


class Link:  # what the proxies of one zone met at a backend, and what that makes of it
    def __init__(self):
        self.tries = self.failed = self.answered = self.time = self.heard = 0.0
        self.lows, self.spare = deque(), False  # means of the last minute; cut only down to a last resort
        self.over = self.streak = 0  # reports running over; tries running that failed
        self.cut_at = self.ramp_from = self.cost = None
        self.recalled = False  # its sums are what a former life had met

    def fade(self, part):
        self.tries, self.failed = self.tries * part, self.failed * part
        self.answered, self.time = self.answered * part, self.time * part


class Backend:  # the one record of a backend
    def __init__(self, backend, now):
        self.id, self.zone, self.kind, self.phase = backend, None, None, "gone"
        self.listed, self.started, self.ramp_from, self.probed_at = 1.0, 0, None, -PERIOD
        self.links, self.sent, self.subset = defaultdict(Link), {}, None  # subset: where the fleet is split
        self.tried = self.missed = self.done = self.spent = 0.0
        self.missing, self.proven, self.gone_at = False, True, now  # gone by the list alone; answers; when


class Planner:
    def __init__(self, host, now, seed, settings):
        self.host, self.jitter, self.channel = host, Random(seed).uniform, Channel()
        self.new_settings(now, settings)
        self.backends, self.proxies, self.average = {}, {}, {}  # id -> Backend, (table, rate); zone -> ns
        self.unbound, self.flushed_at = {}, -1  # proxy yet to be bound -> (others' lines it holds, since)
        self.subsets = Subsets(settings.get("zones") or [])
        self.tables = self.subsets.tables  # zone -> its tables, one for each subset of the fleet
        self.lines, self.users = Counter(), defaultdict(dict)  # table -> its lines; proxies bound to it
        self.levels, self.slices = defaultdict(dict), {}  # table -> {class: as sent}; slice held -> lines
        self.next_flush = self.next_alarm = self.flush_due = self.lag = self.shut_at = self.doubt = 0
        self.credit = SAVED * settings.get("lines_per_s", 1e9)  # lines for ordinary changes
        self.short = self.later = self.listed_once = self.strained = self.bare = False
        self.through, self.room, self.asked = 1.0, 1.0, {}  # answered part of tries; let-in part; by class
        if settings.get("subscribe"):
            host.observe(True)
        host.wake(PERIOD, "round")

    def new_settings(self, now, settings):
        self.settings = settings  # read where needed, so they act from the next decision on
        self.channel.new_settings(settings)
        self.classes = [{"promised_time": SECOND, "benefit": 1, **c} for c in settings.get("classes") or []]
        self.level_lines, self.let_in = min(len(self.classes), LEVELS), None

    def list_news(self, now, form, entries):
        if form == "failed":
            return self.host.wake(int(PERIOD * self.jitter(0.5, 1.5)), "observe")
        for entry in entries:
            self._entry(now, **entry)
        seen = {entry["backend"] for entry in entries}
        for rec in [rec for rec in self.backends.values() if form != "changes" and rec.id not in seen]:
            self._entry(now, rec.id, rec.zone, rec.kind, None, "gone", rec.listed, 0)
        self.listed_once = True
        self.subsets.assign(self.settings, self.channel, self.backends.values())
        self._flush(now)

    def _entry(self, now, backend, zone, kind, cell, phase, weight, started):
        rec = self.backends.get(backend)
        if rec is None:
            rec = self.backends[backend] = Backend(backend, now)
        # Where only a drain binds, a probe checks a list that drops a server: it may be old or wrong. Harm:
        # one that died is kept until the probe, or the reports, tell.
        rec.missing = phase == "gone" and rec.phase == "ready" and self.settings.get("drain_needs_entry")
        if rec.missing:
            return self._probe(now, rec, True)
        rec.gone_at = now if phase != "ready" and rec.phase == "ready" else rec.gone_at
        if phase == "ready" and (rec.phase != "ready" or started > rec.started):
            # A list may name what is not there: who is new earns its ramp by an answer, where probes tell. In
            # the first list only those still cold are new; they start over: a storm may be on, levels lost.
            cold = started and now - started < self.settings.get("cold_time", 0)
            rec.links.clear()
            rec.ramp_from = now if self.listed_once or cold else None
            rec.proven = not (self.listed_once and self.settings.get("probes"))
            if not rec.proven:
                self._probe(now, rec, True)
            if cold and not self.listed_once:
                self.through = START_THROUGH
        rec.zone, rec.kind, rec.phase, rec.started = zone, kind, phase, max(started, rec.started)
        rec.listed = weight if weight > 0 else 1.0

    def timer(self, now, cookie):
        if cookie == "round":
            self.host.wake(PERIOD, "round")
            self._round(now)
        elif cookie == "flush" and now >= self.flush_due:  # one that an earlier has replaced is none
            self.flush_due = 0
            self._flush(now)
        elif cookie == "observe":
            self.host.observe(True)

    def _costs(self, now):
        for zone in self.tables:
            kinds = defaultdict(list)
            for rec in self.backends.values():
                link = rec.links[zone]
                link.cost = self._cost(now, rec, link)
                if link.cost is not None and rec.phase == "ready" and link.cut_at is None:
                    kinds[rec.kind].append(link.cost)
                link.heard = link.answered if link.cost else 0.0
            costs = sum(kinds.values(), [])
            self.average[zone] = sum(costs) / len(costs) if costs else None
            for rec in self.backends.values():
                link, like = rec.links[zone], kinds.get(rec.kind)
                if like:
                    cost = (link.cost or 0) * link.heard + sum(like) / len(like) * PRIOR
                    link.cost = cost / (link.heard + PRIOR)

    def _round(self, now):
        self._costs(now)
        pace = self.channel.met
        self.credit = min(self.credit + ORDINARY * pace * PERIOD / SECOND, SAVED * pace)
        self._strain(now)
        for rec in list(self.backends.values()):
            if rec.phase == "ready" and not rec.proven:
                self._probe(now, rec)
            for zone, link in rec.links.items():
                link.fade(KEEP)
                if link.cut_at is not None:
                    self._probe(now, rec)
                    if not link.spare and now - link.cut_at >= UNHEARD_PERIODS * PERIOD:
                        rec.links[zone] = Link()
                        rec.links[zone].ramp_from = now
            if rec.phase == "gone" and not any(rec.sent.values()) and now - rec.gone_at > GONE_KEPT:
                self.host.forget(self.backends.pop(rec.id).id)  # the one place; no table or shut-out names it
        self.channel.expire(now)
        self._flush(now)

    def _cost(self, now, rec, link):
        """W = (p*2*RTT + (1-p)*RTT) * f(u), or None where too little was heard."""
        if link.answered < HEARD_LEAST:
            return None
        rtt, errors = link.time / link.answered, link.failed / link.tries
        while link.lows and link.lows[-1][1] >= rtt:  # the lowest stays at the front
            link.lows.pop()
        link.lows.append((now, rtt))
        while link.lows[0][0] < now - LOWEST_SPAN:
            link.lows.popleft()
        if self.strained or self.room < 1:
            rtt = link.lows[0][1]
        u = self._utilization(link, rtt)
        return (errors * 2 * rtt + (1 - errors) * rtt) * (1 + 1 / (1 + math.exp(ALPHA * (BETA - u))))

    def _utilization(self, link, rtt):
        return 100 * max(0.0, rtt - (link.lows[0][1] if link.lows else rtt)) / rtt

    def _strain(self, now):
        """Strain is trouble of the fleet, told by the middle try's server; failures alone are none."""
        heard = [rec for rec in self.backends.values() if rec.tried >= 1]
        tries, asked = sum(rec.tried for rec in heard), sum(self.asked.values())
        if tries >= LOOK_LEAST:
            mean, half = 0.0, sum(rec.done for rec in heard) / 2
            for mean, done in sorted((rec.spent / rec.done, rec.done) for rec in heard if rec.done):
                half -= done
                if half <= 0:
                    break
            promised = min((kind["promised_time"] for kind in self.classes), default=SECOND)
            self.strained = mean > (CALM_TIME if self.strained else STRAINED_TIME) * promised
            self.through = 1 - sum(rec.missed for rec in heard) / tries
            if not self.strained:  # more is let in as the strain eases
                self.room = min(1.0, self.room * SHED_BACK)
            elif asked > 0:
                self.room = max(SHED_LEAST, SHED_STEP * min(self.room, sum(r.done for r in heard) / asked))
        if self.doubt and (tries >= LOOK_LEAST or now >= self.doubt):
            self.strained, self.doubt = self.strained and tries >= LOOK_LEAST, 0
            self.room = self.room if self.strained else 1.0  # who is calm has nothing to ease
        for rec in self.backends.values():
            rec.tried, rec.missed = rec.tried * RECENT, rec.missed * RECENT
            rec.done, rec.spent = rec.done * RECENT, rec.spent * RECENT
        self.asked = {name: number * RECENT for name, number in self.asked.items()}

    def _shares(self):
        """The share let in of each class: least benefit per work goes first, by promised time for work."""
        work = [self.asked.get(kind.get("name"), 0) * kind["promised_time"] for kind in self.classes]
        shares, room = [1.0] * len(work), (self.room - SHED_FLOOR) * sum(work)
        if self.room < 1 and sum(work) and self.settings.get("admission") == "fraction":
            for k, kind in sorted(
                enumerate(self.classes),
                key=lambda each: (-each[1]["benefit"] / (each[1]["promised_time"] or 1), each[0]),
            ):
                given = max(0.0, min(room, (1 - SHED_FLOOR) * work[k]))
                room -= given
                share = SHED_FLOOR + given / work[k] if work[k] else 1.0
                shares[k] = round(round(share / SHED_MOVE) * SHED_MOVE, 3) if share < 1 else 1.0
        return shares

    def heard(self, now, zone, backend, tries, failed, mean, window, load):
        rec = self.backends.get(backend)
        if rec is None or tries <= 0:
            return
        link = rec.links[self.subsets.know(zone)]
        answered = max(0, tries - failed) if mean > 0 else 0
        if answered:
            self._prove(now, rec)
        if link.recalled and tries >= HEARD_LEAST:
            # What is met goes before what is remembered: where the two disagree, all of that is dropped.
            link.recalled, moved = False, abs(failed / tries - link.failed / link.tries) > DISAGREE_FAILED
            ratio = mean * link.answered / link.time if answered and link.time else 1.0
            if moved or not 1 / DISAGREE < ratio < DISAGREE:
                link.fade(0.0)
                link.lows.clear()
        link.tries, link.failed = link.tries + tries, link.failed + min(failed, tries)
        link.answered, link.time = link.answered + answered, link.time + answered * mean
        rec.tried, rec.missed = rec.tried + tries, rec.missed + min(failed, tries)
        rec.done, rec.spent = rec.done + answered, rec.spent + answered * mean
        # Failures alone are an alarm like u over 80%, once enough tries stand behind it: for quick errors,
        # hangs, silence, a cut link. u is none while the fleet strains: a cut would only move load.
        link.streak = 0 if failed < tries else link.streak + tries
        eased = answered and not self.strained and self.room >= 1
        over = failed >= tries or (eased and self._utilization(link, link.time / link.answered) > BETA)
        link.over = link.over + 1 if over else 0
        if link.cut_at is not None and not over:
            link.cut_at, link.ramp_from = None, now
            self._flush(now, rec)
        elif link.over >= CUT_REPORTS and link.cut_at is None and (link.streak >= CUT_TRIES or answered):
            self._cut(now, zone, rec)
            self._flush(now, rec)
        elif failed >= tries:
            self._probe(now, rec)

    def _cut(self, now, zone, rec):
        # Past the cap a server stays as a last resort: a few tries tell when it heals, or all weigh alike
        ready = [
            each.links[zone]
            for each in self.backends.values()
            if each.phase == "ready" and each.subset == rec.subset
        ]
        out = sum(1 for each in ready if each.cut_at is not None and not each.spare)
        link = rec.links[zone]
        link.spare, link.cut_at = (out + 1) * CUT_SHARE > len(ready), now

    def _prove(self, now, rec):
        if not rec.proven:
            rec.proven, rec.ramp_from = True, now
            self.subsets.assign(self.settings, self.channel, self.backends.values())
            self._flush(now, rec)

    def _probe(self, now, rec, at_once=False):
        if self.settings.get("probes") and (at_once or now - rec.probed_at >= PERIOD):
            rec.probed_at = now
            self.host.probe(rec.id)

    def probed(self, now, backend, status, took, load):
        """A silent probe confirms a report of failures and keeps a cut server out."""
        rec = self.backends.get(backend)
        status = "timeout" if status == "full" and took > REFUSAL else status
        if rec and status in ("ok", "full"):
            self._prove(now, rec)
        elif rec and status != "error" and not self.strained:
            self._silent(now, rec, status == "timeout")

    def _silent(self, now, rec, late):
        if rec.missing:
            rec.missing, rec.phase, rec.gone_at = False, "gone", now
        for zone, link in rec.links.items():
            if link.cut_at is not None:
                link.cut_at = now
            elif link.streak:
                # A probe may wait in the queue like a transaction: late, it is worth a few tries and no more.
                link.streak += LATE_PROBE if late else CUT_TRIES
                if link.streak >= CUT_TRIES:
                    self._cut(now, zone, rec)
        self._flush(now, rec)

    def arrivals(self, now, proxy, grade, number, unanswered, window):
        self.asked[grade] = self.asked.get(grade, 0) + number

    def joined(self, now, proxy, zone, standing, rate, again=False):  # again: on the stream that was silent
        self.left(now, proxy, again)
        self.proxies[proxy] = table, _ = self.subsets.join(zone, rate, self.channel), rate
        if self.settings.get("slices"):
            for rec in self.backends.values():
                rec.sent.pop("out", None)  # what was shut out before did not reach this one
            return self._flush(now)
        held = min(len(self.backends), self.settings.get("standing_lines", 0) if standing else 1e9)
        self.unbound[proxy] = held, now
        if not self.lines[table]:
            self._flush(now)
        if self.let_in and not self.users[table]:  # it comes with the table
            self._levels(now, table, *self.let_in)
        self._bind(now, proxy)

    def left(self, now, proxy, silent=False):  # silent: what waits for it may still be on its way
        if proxy in self.proxies:
            table, rate = self.proxies.pop(proxy)
            self.users[table].pop(proxy, None)
            self.subsets.left(table, rate)
        self.unbound.pop(proxy, None)
        if not silent:
            self.channel.left(proxy)

    def applied(self, now, proxy, serial, took):
        if self.channel.answered(now, proxy, serial, took):
            self.lag = self.lag if took is None else took
            self._bind_next(now)

    def slice_given(self, now, table, ours):
        self.slices.pop(table, None)
        if ours:
            self.slices[table] = {}
            self.host.wake(0, "flush")  # its lines come with the same batch

    def slice_line(self, now, table, backend, weight):
        if table in self.slices:
            self.slices[table][backend] = weight

    def recalled(self, now, fleet, backends):
        """What a former life had learnt, as far as it is believed; at a start, before anyone joins. The first
        reports of a server outweigh it, cuts keep to their cap and are probed, cold servers stay guarded."""
        for backend, (kept, links) in backends.items():
            rec = self.backends[backend]
            rec.ramp_from, rec.missing = rec.ramp_from or kept["ramp_from"], kept["missing"]
            rec.proven = kept["proven"] or not self.settings.get("probes")
            if rec.missing or not rec.proven:
                self._probe(now, rec, True)
            for zone, met in links.items():
                link = rec.links[zone]
                if not link.tries:
                    for key in MET:
                        setattr(link, key, met[key])
                    link.lows, link.recalled = deque([met["low"]] if met["low"] else ()), link.tries > 0
                    if link.cut_at is not None:
                        link.cut_at = None
                        self._cut(now, zone, rec)
                        self._probe(now, rec)
        self.through = min(self.through, fleet["through"])
        if fleet["strained"] or fleet["room"] < 1:
            self.strained, self.room, self.asked = fleet["strained"], fleet["room"], dict(fleet["asked"])
            self.doubt = now + DOUBT
        self._costs(now)
        self._flush(now)

    def peer_said(self, now, *words):
        """Nothing is decided on it, nor on the load of slices: each instance keeps the rules alone."""

    slice_load = peer_said

    def warm(self, now, rec):  # the part of its work that it can do by the told warm-up
        share, whole = self.settings.get("cold_share", 0), self.settings.get("cold_time", 3 * RAMP_STEP)
        age = 1 if rec.ramp_from is None else min(1, (now - rec.started) / max(1, whole))
        return share + (1 - share) * age

    def _want(self, now, rec, zone):
        link, average, part = rec.links[zone], self.average.get(zone), 1.0
        out = (link.cut_at is not None and not link.spare) or rec.sent.get("out", False) is not False
        if out or rec.phase != "ready" or not (rec.proven or self.bare):
            return 0.0
        for since in (rec.ramp_from, link.ramp_from):
            if since is not None:  # who is new does its whole part once it is warm
                pace = max(1, min(RAMP_STEP, self.settings.get("cold_time", 2 * RAMP_STEP) // 2))
                least = max(RAMP_START, self.settings.get("cold_share", 0))
                part = min(part, least * 2.0 ** min(RAMP_DONE, (now - since) // pace))
        if link.cut_at is not None:
            part = min(part, LAST_RESORT)
        if (warm := self.warm(now, rec)) < 1:
            # In a storm of tries a quarter weight is many times a quarter of the work: a cold server gets its
            # part of what is answered, or by its warmth what the rule lets pass. Harm: it warms with less.
            part = min(part, self.through * max(part, GUARD * self.settings.get("fall_multiple", 0) * warm))
            average = min(average or 0, link.cost or 0)  # an idle cold server answers fast: no more for that
        cost = average / link.cost if average and link.cost else 1.0
        return max(LEAST_WEIGHT, round(rec.listed * cost * part, 4))

    def _flush(self, now, only=None):
        """Sends what differs, of one backend or all; only a rule's lines use the channel's second half."""
        merging = now == self.flushed_at  # one reply, one message: more of it costs no head
        if (only and self.short) or (now < self.next_flush and not merging):  # the oldest drains go first
            return self._flush_at(self.next_flush, now)
        if self.settings.get("slices"):
            return self._keep_slices(now)
        before, touched, held, left = self.channel.serial, set(), now < self.next_alarm and not merging, 1
        self.short = self.later = False  # later: something is held back for the next alarm
        if not only:
            self._shut_out(now)
        moves, brings = list(self._moves(now, only)), Counter()
        for urgency, rank, _, table, _, _ in moves:  # a table's lines go together: one head
            brings[table] += urgency and rank
        moves.sort(key=lambda move: (move[0], move[0] and brings[move[3]], move))
        if moves and not moves[0][0]:  # a joiner from before the oldest drain is due before it
            self._bind_next(now, moves[0][1][0])
        few = len(self.proxies) // FEW if self.channel.room(1, PERIOD // 4) > 0 else 0
        rule = sum(len(self.users[move[3]]) for move in moves if not move[0])
        # Who is not bound keeps a jam up by another's table: moves make room. Harm: weights stand still then.
        part = 0 if self.short else JOIN_PART if self.unbound else 0.5
        crowded = self.channel.room(RULE_PART) < rule / 2 and self.channel.room(0.5) < 0  # few: mostly heads
        for urgency, _, backend, table, want, ordinary in moves:
            rec, users = self.backends[backend], self.users[table]
            back = self.host.returns(users, table, rec.id) if want and not rec.sent.get(table) else {}
            cost = len(back) + len(users) * (1 if table in touched else 1 + self.channel.head)
            if urgency and held and (ordinary or (table not in touched and len(users) > few)):
                self.later = True  # an alarm to few keeps no gap where nothing waits
                continue
            room = self.channel.room(part, AHEAD) if urgency else self.channel.room(RULE_PART * (not crowded))
            if cost > max(0, room) or (ordinary and cost > self.credit):
                self.short = self.short or not urgency  # nothing else may use what frees until this fits
                left = 4 if self.credit > cost and not self.unbound else left
                continue
            self.credit -= cost * ordinary
            touched.add(table)
            self._order(now, users, self.host.weigh, table, rec.id, want, more=back)
            self.lines[table] += bool(want) - bool(rec.sent.get(table))
            rec.sent[table] = want
        if not only:
            self._shut_out(now)
        shares = () if only or held else self._shares()
        self.let_in = (shares, 0 if self.strained else 1) if shares else self.let_in
        for table in sum(self.tables.values(), []):
            cost = len(self.users[table]) * (self.level_lines + self.channel.head)
            used = shares and self.subsets.proxies[table]
            if used and self.channel.room(0.5, AHEAD) > 0 and cost <= self.channel.room(RULE_PART):
                self._levels(now, table, *self.let_in)
        if self.channel.serial != before:
            self.flushed_at, self.next_flush = now, now + int(MESSAGE_ROOM * self.channel.message_gap)
            if not held:
                heads = len(self.proxies) * self.channel.head / HEADS / left
                self.next_alarm = now + int(SECOND * heads / self.channel.met)
        if self.later or left > 1 or self.short:
            self._flush_at(self.next_flush if self.short else self.next_alarm, now)
        self._bind_next(now)

    def _moves(self, now, only):
        """Lines that differ from the wanted tables, ranked: a rule's by age, others by the weight moved."""
        self.bare = not any(rec.phase == "ready" and rec.proven for rec in self.backends.values())
        for rec, zone, table, holds in self.subsets.lines_of((only,) if only else self.backends.values()):
            want, sent = self._want(now, rec, zone) if holds else 0.0, rec.sent.get(table, 0.0)
            less, moved = want < sent * (1 - RESEND), abs(want - sent)
            cut = rec.links[zone].cut_at is not None
            alarm = not want or not sent or (less and (cut or self.warm(now, rec) < 1))
            if want != sent and (rec.phase != "ready" or not self.lines[table]):
                yield 0, (rec.gone_at, table), rec.id, table, want, False
            elif want != sent and (alarm or (not only and moved > RESEND * sent)):
                if want or self.lines[table] > 1:  # who comes in ranks by what it will carry
                    yield 1, -(moved if sent else rec.listed), rec.id, table, want, not alarm

    def _flush_at(self, when, now):
        when = max(when, now + PERIOD // 4)
        if not now < self.flush_due <= when:  # a drain does not wait for a later flush
            self.flush_due = when
            self.host.wake(when - now, "flush")

    def _shut_out(self, now):
        """Proxies not bound yet go on with tables of others: what drains or is gone is shut out of those too,
        once its lines have left the tables here; again for who joined since, well within the grace."""
        grace, turned = self.settings.get("drain_grace", SECOND), []
        waits = max((now - since for _, since in self.unbound.values() if since >= self.shut_at), default=0)
        self.shut_at = now if waits >= TOGETHER * grace else self.shut_at
        work = sum(
            self.lines[self.proxies[proxy][0]] + self.level_lines + self.channel.head
            for proxy in self.unbound
        )
        late = self.channel.takes(work) > IN_TIME * self.settings.get("drain_grace", 0)
        order = sorted(self.backends.values(), key=lambda rec: (max(rec.gone_at, self.shut_at), -rec.gone_at))
        for rec in order:
            out, recent = rec.sent.get("out", False), now - rec.gone_at < KEPT * grace
            if out and recent and waits >= TOGETHER * grace:
                out = rec.sent["out"] = None  # not told to all
            want = (recent and (late or "out" in rec.sent)) or out
            want = bool(want and self.unbound and rec.phase != "ready")
            if out != want and not any(weight for table, weight in rec.sent.items() if table != "out"):
                turned.append((rec, want))

        def reach(each):
            return self.host.reach(each[0].id, each[1], self.unbound, len(self.backends))

        outs = [each for each in turned if each[1]]
        each = sum(reach(outs[0]).values()) if outs else 0
        if each * len(outs) + self.channel.head * min(each, len(self.unbound)) > work:
            turned = [each for each in turned if not each[1]]
        fits, lines = self.channel.fitting(map(reach, turned), RULE_PART)
        self.short = self.short or fits < len(turned)
        fits *= fits * 2 >= len(turned) or self.channel.room(0.25) > 0  # else most would be heads
        for rec, rec.sent["out"] in turned[:fits]:
            self.host.withdraw(rec.id, rec.sent["out"])
        for proxy, number in lines.items() if fits else ():
            self._count(now, proxy, number)

    def _levels(self, now, table, shares, retries):
        """One order for all classes that are to have the same: a few, whatever the number of classes."""
        usual, groups = (1.0, self.settings.get("usual_retry", 0)), Counter()
        sent = self.levels[table]
        for position, share in enumerate(shares):
            if sent.get(position, usual) != (share, retries):
                sent[position] = share, retries
                groups[share] += 1 << position
        for share, classes in groups.items():
            share = NO_LIMIT if self.settings.get("admission") == "per_second" else share
            self._order(now, self.users[table], self.host.level, table, classes, share, retries)

    def _bind_next(self, now, drain=None):
        """Joiners are bound in turn, as there is room: who waits long first, then who has most traffic.
        Before a drain is ordered, only those who wait long and since before it: they are due first."""
        if self.short or not self.unbound or self._bind_room(drain) < 0:
            return  # asked at each answer: no walk of all that could bind none
        soon = now - self.settings.get("drain_grace", SECOND) / 3  # an old table may hold what is not listed
        order = {p: (min(since, soon), -self.proxies[p][1]) for p, (_, since) in self.unbound.items()}
        due = [p for p, (since, _) in order.items() if drain is None or since < min(drain, soon)]
        all(self._bind(now, proxy, drain) for proxy in sorted(due, key=order.get))

    def _bind_room(self, drain):
        grace = self.settings.get("drain_grace")
        if drain is None:
            return self.channel.room(BIND_PART, grace and BIND_TIME * grace)
        return self.channel.room(RULE_PART, IN_TIME * (grace or SECOND))

    def _bind(self, now, proxy, drain=None):
        table, room = self.proxies[proxy][0], self._bind_room(drain)
        cost = (
            1
            + self.lines[table]
            + len(set(self.levels[table].values()))
            + sum(self.host.returns((proxy,), table).values())
        )
        if self.short or cost + self.channel.head > room:
            return False
        if self.lines[table] and self.unbound.pop(proxy, None):  # an empty table is worse than what it holds
            self.users[table][proxy] = None
            self.host.bind(proxy, table, 0)
            self._count(now, proxy, cost)
        return True

    def _keep_slices(self, now):
        """The store's lines stand; what drains or is lost is shut out and, with no single owner, replaced."""
        ready = {rec.id: rec for rec in self.backends.values() if rec.phase == "ready"}
        for rec in self.backends.values():
            if rec.sent.get("out", False) != (rec.id not in ready):
                rec.sent["out"] = rec.id not in ready
                self._order(now, self.proxies, self.host.withdraw, rec.id, rec.sent["out"])
        for table, lines in self.slices.items() if ready and not self.settings.get("one_owner") else ():
            for backend in [b for b in lines if b not in ready]:
                del lines[backend]
                self._order(now, self.proxies, self.host.weigh, table, backend, 0.0)
            if not lines:
                held = [b for own in self.slices.values() for b in own]
                new = min(ready, key=lambda b: (self.warm(now, ready[b]) < 1, held.count(b)))
                lines[new] = 1.0
                self._order(now, self.proxies, self.host.weigh, table, new, 1.0)

    def _order(self, now, proxies, call, *words, more=()):
        call(*words)
        for proxy in proxies:
            self._count(now, proxy, 2 if proxy in more else 1)

    def _count(self, now, proxy, lines):
        """Books lines to the message that this reply sends a proxy; the first one asks for an answer."""
        if self.channel.book(now, proxy, lines):
            self.host.mark(self.channel.serial, False)
