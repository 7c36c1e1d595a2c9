"""The planner from before it evaluated only changes: the reference of planner/test_dirty_set.py.

It evaluates every backend, zone and table at each flush. It is unchanged, apart from intended changes of
behaviour that were made in both planners: joining proxies are assigned within a third of the grace, and
before a drain, for at most half of the grace, if they may still use a backend that drained earlier; the
mandatory entries of a table wait for each other; earlier drains are excluded after recent ones; admission
levels are sent by groups of classes, for tables that have users; and proxies that cannot all be assigned
within half of the grace while a backend drains are served one by one, with parts of tables or exclusions.

One Planner makes all decisions of a coordinator. It is created when the coordinator starts; one method is
called for each event, with the clock in whole nanoseconds, and it acts by calling the host at once.
"""

import math
from collections import Counter, defaultdict, deque
from random import Random

from reference.channel import Channel
from reference.subsets import Subsets

SECOND = 1_000_000_000  # ns
ALPHA = 0.5  # per percent: steepness of f(u)
BETA = 80.0  # percent: midpoint of f(u), and the utilization above which a server counts as overloaded
# ns between recomputations: the period of the reports, so that each weight change is small
PERIOD = 1 * SECOND
RAMP_STEP = 5 * SECOND  # ns for each doubling of a new server's share
RAMP_DONE = 40  # doublings after which any ramp has ended; a float overflows after 1,023
RAMP_START = 0.25  # share of its weight with which a new or returned server starts
LOWEST_SPAN = 60 * SECOND  # ns: window of the minimum round trip
# ns that a gone backend is kept: proxies that join with old tables are assigned in a few seconds
GONE_KEPT = 20 * SECOND
KEEP = 0.92  # decay factor of observations at a recomputation: a mean over some twelve seconds
PRIOR = 8.0  # answers that the average cost of a server's kind counts for
HEARD_LEAST = 3.0  # answers below which a server's mean is random, so that it has no cost of its own
RESEND = 0.1  # relative change of a weight from which it is sent
CUT_REPORTS = 2  # consecutive overloaded reports before an ejection
CUT_TRIES = 5  # consecutive failed attempts for an ejection: one or two are random
REFUSAL = SECOND // 4  # ns: a rejection is quick; a slower one comes from a server whose own check hung
LATE_PROBE = 2  # failed attempts that a late health check counts for
CUT_SHARE = 3  # at most one in this many ready servers is ejected from a table
# Share of its weight that a server past the cap on ejections keeps: some attempts to observe it
LAST_RESORT = 0.02
UNHEARD_PERIODS = 2  # periods without a report after which an ejected server returns
MESSAGE_ROOM = 1.25  # multiple of the shortest gap that keeps the messages to a proxy under their limit
# Decay factor of the fleet's sums at each evaluation: the reports are late, and this adds no lag
RECENT = 0.1
STRAINED_TIME = 0.65  # share of the shortest latency objective: a mean above it means many late answers
LOOK_LEAST = 20  # attempts below which an evaluation of the fleet is random: the first reports after a start
CALM_TIME = 0.5  # share of the shortest latency objective: a mean below it ends an overload
SHED_STEP = 0.95  # factor at each evaluation during an overload, on the smaller of admitted and answered work
SHED_BACK = 1.08  # factor at each evaluation without overload: fewer rejections cause fewer retries
SHED_LEAST = 0.2  # share of the work that is always admitted: observations must not stop
SHED_FLOOR = 0.1  # share of each class that is admitted however low its benefit: the worst class counts too
SHED_MOVE = 0.03  # smallest step of a level that is sent
GUARD = 0.5  # share of the permitted overload multiple that a cold server may receive in a storm of retries
START_THROUGH = 0.3  # assumed success ratio at a start among cold servers: there may be a storm of retries
LEAST_WEIGHT = 0.0001  # lower bound of a rounded weight above 0: rounding must not remove an entry
LEVELS = 4  # maximum of different admission levels: all, nearly all, one partial, the floor
NO_LIMIT = 1e6  # requests a second at a proxy that stand for admitting all
ORDINARY = 0.15  # share of the channel's rate for ordinary changes: updates have a cost
HEADS = 0.15  # share of the channel's rate for message headers: sets the gap between flushes
RULE_PART = 0.94  # share of the queue for mandatory entries: what joining proxies hold is an estimate
JOIN_PART = 0.2  # share of the queue for moves while a proxy is unassigned: assignments go first
# ns at the observed rate that moves may wait in the channel: a drain would wait behind them
AHEAD = 2 * SECOND
FEW = 8  # a table has few users if at most one in this many proxies uses it: a message to them is cheap
BIND_PART = 0.35  # share of the queue for assignments: drains need the rest
BIND_TIME = 1 / 3  # share of the grace for assignments at the observed rate: a drain waits behind them
IN_TIME = 0.5  # share of the drain grace: a proxy assigned within it needs no exclusions
TOGETHER = 1 / 6  # share of the grace that joining proxies wait for others, to get exclusions together
KEPT = 2  # graces after which a drain is excluded last: the former coordinator has mostly sent it
# ns that a restored overload lasts unless it is observed: reports of the first two seconds
DOUBT = 3 * SECOND
REMEMBERED = "phase", "zone", "kind", "listed", "started", "gone_at", "ramp_from", "proven", "missing"
MET = "tries", "failed", "answered", "time", "over", "streak", "cut_at", "ramp_from"  # of a link
DISAGREE = 2.5  # factor between means that is not random: an eighth of the means of three answers exceed it
DISAGREE_FAILED = 0.35  # the same for the difference of failed shares
SAVED = 5  # s of the channel's rate that ordinary changes may save up


class Link:  # observations of the proxies of one zone at a backend, and the state derived from them
    def __init__(self):
        self.tries = self.failed = self.answered = self.time = self.heard = 0.0
        # Means of the last minute; whether ejected only down to a last resort
        self.lows, self.spare = deque(), False
        self.over = self.streak = 0  # consecutive overloaded reports; consecutive failed attempts
        self.cut_at = self.ramp_from = self.cost = None
        self.recalled = False  # whether its sums were restored

    def fade(self, part):
        self.tries, self.failed = self.tries * part, self.failed * part
        self.answered, self.time = self.answered * part, self.time * part


class Backend:  # the record of a backend
    def __init__(self, backend, now):
        self.id, self.zone, self.kind, self.phase = backend, None, None, "gone"
        self.listed, self.started, self.ramp_from, self.probed_at = 1.0, 0, None, -PERIOD
        self.links, self.sent, self.subset = defaultdict(Link), {}, None  # subset: if the fleet is split
        self.tried = self.missed = self.done = self.spent = 0.0
        # Gone by the list alone; has answered; since when it is gone
        self.missing, self.proven, self.gone_at = False, True, now


class Planner:
    def __init__(self, host, now, seed, settings):
        self.host, self.jitter, self.channel = host, Random(seed).uniform, Channel()
        self.new_settings(now, settings)
        self.backends, self.proxies, self.average = {}, {}, {}  # id -> Backend, (table, rate); zone -> ns
        # Unassigned proxy -> (entries of other tables it holds, since)
        self.unbound, self.flushed_at = {}, -1
        self.subsets = Subsets(settings.get("zones") or [])
        self.tables = self.subsets.tables  # zone -> its tables, one for each subset of the fleet
        self.lines, self.users = Counter(), defaultdict(dict)  # table -> its entries; its assigned proxies
        # Assigned proxy with a part of its table -> servers in that part; table -> parts that were assigned
        self.parts, self.handed = {}, Counter()
        # Table -> {class: level sent}; assigned slice -> entries
        self.levels, self.slices = defaultdict(dict), {}
        self.next_flush = self.next_alarm = self.flush_due = self.lag = self.shut_at = self.doubt = 0
        self.credit = SAVED * settings.get("lines_per_s", 1e9)  # entries for ordinary changes
        self.short = self.later = self.listed_once = self.strained = self.bare = False
        self.through, self.room, self.asked = 1.0, 1.0, {}  # success ratio; admitted share; demand by class
        if settings.get("subscribe"):
            host.observe(True)
        host.wake(PERIOD, "round")

    def new_settings(self, now, settings):
        self.settings = settings  # read where needed, so that they apply from the next decision on
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
        # If removals need a drain, a health check verifies a list that lacks a server: it may be old or
        # wrong. Drawback: a crashed server is kept until the health check or the load reports show it.
        rec.missing = phase == "gone" and rec.phase == "ready" and self.settings.get("drain_needs_entry")
        if rec.missing:
            return self._probe(now, rec, True)
        rec.gone_at = now if phase != "ready" and rec.phase == "ready" else rec.gone_at
        if phase == "ready" and (rec.phase != "ready" or started > rec.started):
            # A list may contain absent servers: with health checks a new one starts its ramp by an answer. In
            # the first list only cold ones are new; they start over: there may be a storm, with levels lost.
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
        elif cookie == "flush" and now >= self.flush_due:  # a timer replaced by an earlier one is ignored
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
                self.host.forget(self.backends.pop(rec.id).id)  # only here: no table or exclusion contains it
        self.channel.expire(now)
        self._flush(now)

    def _cost(self, now, rec, link):
        """W = (p*2*RTT + (1-p)*RTT) * f(u), or None with too few answers."""
        if link.answered < HEARD_LEAST:
            return None
        rtt, errors = link.time / link.answered, link.failed / link.tries
        while link.lows and link.lows[-1][1] >= rtt:  # the minimum stays at the front
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
        """Detect overload of the fleet by the server of the median attempt; failures alone are none."""
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
            if not self.strained:  # admit more as the overload recedes
                self.room = min(1.0, self.room * SHED_BACK)
            elif asked > 0:
                self.room = max(SHED_LEAST, SHED_STEP * min(self.room, sum(r.done for r in heard) / asked))
        if self.doubt and (tries >= LOOK_LEAST or now >= self.doubt):
            self.strained, self.doubt = self.strained and tries >= LOOK_LEAST, 0
            self.room = self.room if self.strained else 1.0  # without overload nothing is shed
        for rec in self.backends.values():
            rec.tried, rec.missed = rec.tried * RECENT, rec.missed * RECENT
            rec.done, rec.spent = rec.done * RECENT, rec.spent * RECENT
        self.asked = {name: number * RECENT for name, number in self.asked.items()}

    def _shares(self):
        """Return the admitted share of each class; the least benefit per work is shed first.

        Work counts by the latency objective.
        """
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
            # Observations take precedence over restored sums: if they disagree, all restored sums are
            # dropped.
            link.recalled, moved = False, abs(failed / tries - link.failed / link.tries) > DISAGREE_FAILED
            ratio = mean * link.answered / link.time if answered and link.time else 1.0
            if moved or not 1 / DISAGREE < ratio < DISAGREE:
                link.fade(0.0)
                link.lows.clear()
        link.tries, link.failed = link.tries + tries, link.failed + min(failed, tries)
        link.answered, link.time = link.answered + answered, link.time + answered * mean
        rec.tried, rec.missed = rec.tried + tries, rec.missed + min(failed, tries)
        rec.done, rec.spent = rec.done + answered, rec.spent + answered * mean
        # Failures alone are an alarm like u over 80%, given enough attempts: for quick errors, hangs, missing
        # answers, a broken link. u is none during an overload: an ejection would only move load.
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
        # Past the cap a server stays as a last resort: a few attempts show its recovery; if all are, all
        # weigh equal
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
        """Handle a health check; a missing answer confirms reported failures and keeps a server ejected."""
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
                # A health check may wait in the queue like a request: a late one counts for a few attempts
                # only.
                link.streak += LATE_PROBE if late else CUT_TRIES
                if link.streak >= CUT_TRIES:
                    self._cut(now, zone, rec)
        self._flush(now, rec)

    def arrivals(self, now, proxy, grade, number, unanswered, window):
        self.asked[grade] = self.asked.get(grade, 0) + number

    # again: on the stream that was unreachable
    def joined(self, now, proxy, zone, standing, rate, again=False):
        self.left(now, proxy, again)
        self.proxies[proxy] = table, _ = self.subsets.join(zone, rate, self.channel), rate
        if self.settings.get("slices"):
            for rec in self.backends.values():
                rec.sent.pop("out", None)  # earlier exclusions did not reach this proxy
            return self._flush(now)
        held = min(len(self.backends), self.settings.get("standing_lines", 0) if standing else 1e9)
        self.unbound[proxy] = held, now
        if not self.lines[table]:
            self._flush(now)
        if self.let_in and not self.users[table]:  # sent together with the table
            self._levels(now, table, *self.let_in)
        self._bind(now, proxy)

    def left(self, now, proxy, silent=False):  # silent: messages to it may still be in flight
        if proxy in self.proxies:
            table, rate = self.proxies.pop(proxy)
            self.users[table].pop(proxy, None)
            self.subsets.left(table, rate)
        self.unbound.pop(proxy, None)
        self.parts.pop(proxy, None)
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
            self.host.wake(0, "flush")  # its entries follow in the same batch

    def slice_line(self, now, table, backend, weight):
        if table in self.slices:
            self.slices[table][backend] = weight

    def recalled(self, now, fleet, backends):
        """Restore the trusted state of a former process; at a start, before any proxy joins.

        The first reports of a server outweigh it, ejections keep to their cap and are health-checked, and
        cold servers stay protected.
        """
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
        """Ignore gossip, like the load of slices: each coordinator follows the rules by itself."""

    slice_load = peer_said

    def warm(self, now, rec):  # the share of its work that it can do by the configured warm-up
        share, whole = self.settings.get("cold_share", 0), self.settings.get("cold_time", 3 * RAMP_STEP)
        age = 1 if rec.ramp_from is None else min(1, (now - rec.started) / max(1, whole))
        return share + (1 - share) * age

    def _want(self, now, rec, zone):
        link, average, part = rec.links[zone], self.average.get(zone), 1.0
        out = (link.cut_at is not None and not link.spare) or rec.sent.get("out", False) is not False
        if out or rec.phase != "ready" or not (rec.proven or self.bare):
            return 0.0
        for since in (rec.ramp_from, link.ramp_from):
            if since is not None:  # a new server gets its whole share once it is warm
                pace = max(1, min(RAMP_STEP, self.settings.get("cold_time", 2 * RAMP_STEP) // 2))
                least = max(RAMP_START, self.settings.get("cold_share", 0))
                part = min(part, least * 2.0 ** min(RAMP_DONE, (now - since) // pace))
        if link.cut_at is not None:
            part = min(part, LAST_RESORT)
        if (warm := self.warm(now, rec)) < 1:
            # In a storm of retries a quarter of the weight is many times a quarter of the work: a cold server
            # gets its share of the answered work, or by its warmth what the rule permits. Drawback: it warms
            # up with less.
            part = min(part, self.through * max(part, GUARD * self.settings.get("fall_multiple", 0) * warm))
            # An idle cold server answers fast: it gets no more for that
            average = min(average or 0, link.cost or 0)
        cost = average / link.cost if average and link.cost else 1.0
        return max(LEAST_WEIGHT, round(rec.listed * cost * part, 4))

    def _flush(self, now, only=None):
        """Send changed entries, of one backend or all; only mandatory ones use the channel's second half."""
        merging = now == self.flushed_at  # one message for each turn: more entries cost no header
        if (only and self.short) or (now < self.next_flush and not merging):  # the oldest drains go first
            return self._flush_at(self.next_flush, now)
        if self.settings.get("slices"):
            return self._keep_slices(now)
        before, touched, held, left = self.channel.serial, set(), now < self.next_alarm and not merging, 1
        self.short = self.later = False  # later: entries are deferred to the next alarm
        if not only:
            self._shut_out(now)
        moves, brings = list(self._moves(now, only)), Counter()
        for urgency, rank, _, table, _, _ in moves:  # a table's entries go together: one header
            brings[table] += urgency and rank
        moves.sort(key=lambda move: (move[0], move[0] and brings[move[3]], move))
        if moves and not moves[0][0] and self._outstanding(moves[0][1][0]):
            self._bind_next(now, moves[0][1][0])
        ahead = min(AHEAD, (self.settings.get("drain_grace") or 1e18) / 3)
        few = len(self.proxies) // FEW if self.channel.room(1, PERIOD // 4) > 0 else 0
        rules = defaultdict(Counter)  # table -> proxy -> mandatory entries in its message
        for urgency, _, backend, table, _, _ in moves:
            if not urgency:
                rules[table].update(self._holders(table, backend))
        rule = sum(sum(numbers.values()) for numbers in rules.values())
        most = rule and RULE_PART * self.channel.limit - self.channel.unanswered(now)
        # An unassigned proxy prolongs an overload with another table: moves yield. Drawback: weights do not
        # change.
        part = 0 if self.short else JOIN_PART if self.unbound or self.parts else 0.5
        # Few entries: mostly headers
        crowded = self.channel.room(RULE_PART) < rule / 2 and self.channel.room(0.5) < 0
        for urgency, _, backend, table, want, ordinary in moves:
            rec, users = self.backends[backend], self._holders(table, backend)
            empty = [p for p in users if not want and self.parts.get(p) == {backend}]
            back = self.host.returns(users, table, rec.id) if want and not rec.sent.get(table) else {}
            cost = len(back) + len(users) * (1 if table in touched else 1 + self.channel.head)
            cost += sum(self._spare_cost(now, p, table) for p in empty)
            if urgency and held and (ordinary or (table not in touched and len(self.users[table]) > few)):
                self.later = True  # an alarm to few proxies needs no gap if the queue is empty
                continue
            room = self.channel.room(part, ahead) if urgency else self.channel.room(RULE_PART * (not crowded))
            # The mandatory entries of a table wait for each other, if they can ever fit: one header
            together = sum(rules[table].values()) + len(rules[table]) * self.channel.head
            if urgency or table in touched or together > most:
                together = 0
            if max(cost, together) > max(0, room) or (ordinary and cost > self.credit):
                self.short = self.short or not urgency  # nothing else may use freed room until this fits
                left = 4 if self.credit > cost and not self.unbound else left
                continue
            self.credit -= cost * ordinary
            touched.add(table)
            for proxy in empty:
                self._spare(now, proxy, table)
            self._order(now, users, self.host.weigh, table, rec.id, want, more=back)
            for proxy in users if not want else ():
                self.parts.get(proxy, set()).discard(backend)
            self.lines[table] += bool(want) - bool(rec.sent.get(table))
            rec.sent[table] = want
        if not only:
            self._shut_out(now)
        shares = () if only or held else self._shares()
        self.let_in = (shares, 0 if self.strained else 1) if shares else self.let_in
        for table in sum(self.tables.values(), []):
            cost = len(self.users[table]) * (self.level_lines + self.channel.head)
            used = shares and self.subsets.proxies[table]
            if used and self.channel.room(0.5, ahead) > 0 and cost <= self.channel.room(RULE_PART):
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
        """Yield changed entries with ranks: mandatory ones by age, others by the weight moved."""
        self.bare = not any(rec.phase == "ready" and rec.proven for rec in self.backends.values())
        for rec, zone, table, holds in self.subsets.lines_of((only,) if only else self.backends.values()):
            want, sent = self._want(now, rec, zone) if holds else 0.0, rec.sent.get(table, 0.0)
            less, moved = want < sent * (1 - RESEND), abs(want - sent)
            cut = rec.links[zone].cut_at is not None
            alarm = not want or not sent or (less and (cut or self.warm(now, rec) < 1))
            if want != sent and (rec.phase != "ready" or not self.lines[table]):
                yield 0, (rec.gone_at, table), rec.id, table, want, False
            elif want != sent and (alarm or (not only and moved > RESEND * sent)):
                if want or self.lines[table] > 1:  # a new entry ranks by the load that it will carry
                    yield 1, -(moved if sent else rec.listed), rec.id, table, want, not alarm

    def _flush_at(self, when, now):
        when = max(when, now + PERIOD // 4)
        if not now < self.flush_due <= when:  # a drain does not wait for a later flush
            self.flush_due = when
            self.host.wake(when - now, "flush")

    def _shut_out(self, now):
        """Exclude draining and gone backends at unassigned proxies, which still use tables of others.

        An exclusion is sent once the backend's entries have left the tables here, and again for proxies that
        joined since, well within the grace.
        """
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
            some = out is not False
            if some and (recent or late) and waits >= TOGETHER * grace:
                out = rec.sent["out"] = None  # not sent to all
            want = some or late or (recent and "out" in rec.sent)
            want = bool(want and self.unbound and rec.phase != "ready")
            if out != want and not any(weight for table, weight in rec.sent.items() if table != "out"):
                turned.append((rec, want, want and not recent))
        turned.sort(key=lambda each: each[2])  # what drained long ago goes last
        pending = turned

        def reach(each):
            return self.host.reach(each[0].id, each[1], self.unbound, len(self.backends))

        outs = [each for each in turned if each[1]]
        due = sum(not old for _, _, old in outs)
        each = sum(reach(outs[0]).values()) if outs else 0
        heads = self.channel.head * min(each, len(self.unbound))
        if outs and each * due + heads > work:
            turned = [each for each in turned if not each[1]]
        elif each:
            most = due + min(len(outs) - due, max(0, int((work - heads) / each) - due))
            turned = turned[: len(turned) - len(outs) + most]
        due = sum(not old for _, _, old in turned)
        fits, lines = self.channel.fitting(map(reach, turned), RULE_PART)
        if self.host.proxy_actions and pending and (late or fits < len(turned)):
            return self._deliver(now, pending)
        self.short = self.short or fits < due
        few = fits * 2 < (due or len(turned))
        fits *= not few or self.channel.room(0.25) > 0  # else most entries would be headers
        turned = [(rec, want) for rec, want, _ in turned]
        for rec, rec.sent["out"] in turned[:fits]:
            self.host.withdraw(rec.id, rec.sent["out"])
        for proxy, number in lines.items() if fits else ():
            self._count(now, proxy, number)

    def _deliver(self, now, turned):
        """Send each proxy that is due a part of its table, or exclusions where no part is in time."""
        for rec, want, _ in turned:
            if not want:
                rec.sent["out"] = False
                self.host.end_exclusion(rec.id)
        grace = self.settings.get("drain_grace", SECOND)
        gone = {rec.id: rec.gone_at for rec in self.backends.values() if rec.phase != "ready"}
        kept = [gone[b] for b in gone if any(w for t, w in self.backends[b].sent.items() if t != "out")]
        due = []
        for proxy, (_, since) in self.unbound.items():
            lacks = self.host.missing_exclusions(proxy, gone)
            if lacks:
                due.append((max(since, min(gone[b] for b in lacks)) + grace, proxy, lacks))
        now_due = sorted(each for each in due if not kept or each[0] < min(kept) + grace)
        tried = ((8, 0.5), (4, 0.5), (2, 0.5), (2, 1.0))
        size = next((size for size, share in tried if self._in_time(now, now_due, size, share)), None)
        least = size is None and self._in_time(now, now_due, None, 1.0)  # exclusions, where they are cheaper
        done = len(now_due) == len(due)
        for _, proxy, lacks in now_due:
            part = self._part(now, proxy, size or 2)
            cost = self._part_cost(proxy, part)
            whole = part and (not least or cost <= len(lacks))
            if (cost if whole else len(lacks)) + self.channel.head > self.channel.room(RULE_PART):
                self.short, done = True, False
                break
            if whole:
                table, _ = self.proxies[proxy]
                self.handed[table] += 1
                del self.unbound[proxy]
                self.users[table][proxy] = None
                self.parts[proxy] = set(part)
                self.host.assign_part(proxy, table, part)
            else:
                self.host.exclude_for(proxy, lacks)
            self._count(now, proxy, cost if whole else len(lacks))
        for backend in gone:
            self.backends[backend].sent["out"] = True if done else None

    def _in_time(self, now, due, size, share):
        work = self.channel.waiting
        for when, proxy, lacks in due:
            cost = self._part_cost(proxy, self._part(now, proxy, size or 2)) or len(lacks)
            work += (cost if size else min(cost, len(lacks))) + self.channel.head
            if work > self.channel.met * share * (when - now) / SECOND:
                return False
        return True

    def _part(self, now, proxy, size):
        return self._next_part(now, self.proxies[proxy][0], size)

    def _next_part(self, now, table, size):
        """Return the servers of the next part of a table: warm ones, if there are eight of them."""
        held = [rec for rec in self.backends.values() if rec.phase == "ready" and rec.sent.get(table)]
        warm = [rec for rec in held if self.warm(now, rec) >= 1]
        held = [rec.id for rec in (warm if len(warm) >= 8 else held)]
        number = max(1, len(held) // size)
        return held[self.handed[table] % number :: number]

    def _part_cost(self, proxy, part):
        table, _ = self.proxies[proxy]
        back = sum(sum(self.host.returns((proxy,), table, backend).values()) for backend in part)
        return 1 + len(part) + len(set(self.levels[table].values())) + back if part else 0

    def _holders(self, table, backend):
        """Return the assigned proxies that are sent a server's entry: parts without it are left out."""
        return [p for p in self.users[table] if p not in self.parts or backend in self.parts[p]]

    def _rest(self, proxy, table):
        back = sum(self.host.returns((proxy,), table).values())
        return self.lines[table] - len(self.parts[proxy]) + back

    def _more(self, now, proxy, table):
        return [b for b in self._next_part(now, table, 4) if b not in self.parts[proxy]]

    def _spare_cost(self, now, proxy, table):
        more = self._more(now, proxy, table)
        back = sum(sum(self.host.returns((proxy,), table, b).values()) for b in more)
        return len(more) + back if more else self._rest(proxy, table)

    def _spare(self, now, proxy, table):
        """Replace the last entry of a proxy's part by further ones, or by the rest of the table."""
        more = self._more(now, proxy, table)
        if not more:
            return self._complete(now, proxy, table)
        cost = self._spare_cost(now, proxy, table)
        self.handed[table] += 1
        self.host.extend_part(proxy, table, more)
        self.parts[proxy].update(more)
        self._count(now, proxy, cost)

    def _complete(self, now, proxy, table):
        rest = self._rest(proxy, table)
        del self.parts[proxy]
        self.host.complete_table(proxy, table)
        if rest:
            self._count(now, proxy, rest)

    def _levels(self, now, table, shares, retries):
        """Send one level for all classes with the same share: a few, whatever the number of classes."""
        usual, groups = (1.0, self.settings.get("usual_retry", 0)), Counter()
        sent = self.levels[table]
        for position, share in enumerate(shares):
            if sent.get(position, usual) != (share, retries):
                sent[position] = share, retries
                groups[share] += 1 << position
        for share, classes in groups.items():
            share = NO_LIMIT if self.settings.get("admission") == "per_second" else share
            self._order(now, self.users[table], self.host.level, table, classes, share, retries)

    def _outstanding(self, drain):
        """Whether proxies may still use a backend that drained earlier: they are due before this drain."""
        old = [rec for rec in self.backends.values() if rec.phase != "ready" and rec.gone_at < drain]
        return not all(rec.sent.get("out") for rec in old)

    def _bind_next(self, now, drain=None):
        """Assign joining proxies as there is room: the longest waiting first, then those with most traffic.

        Before a drain is sent, only those that have waited long and since before it: they are due first.
        """
        if self.short or self._bind_room(now, drain) < 0:
            return  # called at each acknowledgement: does not visit all proxies if none could be assigned
        for proxy in list(self.parts) if not self.unbound else ():
            table, _ = self.proxies[proxy]
            if self._rest(proxy, table) + self.channel.head > self._bind_room(now, None):
                return
            self._complete(now, proxy, table)
        soon = now - self.settings.get("drain_grace", SECOND) / 3  # an old table may contain unlisted servers
        order = {p: (min(since, soon), -self.proxies[p][1]) for p, (_, since) in self.unbound.items()}
        due = [p for p, (since, _) in order.items() if drain is None or since < min(drain, soon)]
        all(self._bind(now, proxy, drain) for proxy in sorted(due, key=order.get))

    def _bind_room(self, now, drain):
        grace = self.settings.get("drain_grace")
        if drain is None:
            return self.channel.room(BIND_PART, grace and BIND_TIME * grace)
        left = drain + IN_TIME * self.settings.get("drain_grace", SECOND) - now
        return self.channel.room(RULE_PART, left) if left > 0 else -self.channel.waiting

    def _bind(self, now, proxy, drain=None):
        table, room = self.proxies[proxy][0], self._bind_room(now, drain)
        cost = (
            1
            + self.lines[table]
            + len(set(self.levels[table].values()))
            + sum(self.host.returns((proxy,), table).values())
        )
        if self.short or cost + self.channel.head > room:
            return False
        # An empty table is worse than its current one
        if self.lines[table] and self.unbound.pop(proxy, None):
            self.users[table][proxy] = None
            self.host.bind(proxy, table, 0)
            self._count(now, proxy, cost)
        return True

    def _keep_slices(self, now):
        """Keep the store's entries, but exclude draining and lost servers.

        Without a single owner, replace them.
        """
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
        """Add entries to this turn's message to a proxy; the first one requests an acknowledgement."""
        if self.channel.book(now, proxy, lines):
            self.host.mark(self.channel.serial, False)
