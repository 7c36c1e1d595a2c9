"""The managers' side of a service: the datastores' host, the doors, and what is told to those who subscribed.

Made only where a door is on. Everything that changes settings, the file read anew as well, goes through the
datastores, and is applied by the service in one turn or not at all."""

import time
from weakref import WeakValueDictionary

from granitespool.errors import InvalidInputError
from granitespool.management import impact_check, mapping
from granitespool.management.authorization import User, certificate_identities, find_user
from granitespool.management.datastores import Datastores
from granitespool.management.errors import ManagementError
from granitespool.management.model import Model
from granitespool.management.operational_state import OperationalState, ServiceFacts
from granitespool.management.settings_trees import STARTUP
from granitespool.net.config import shares
from granitespool.net.loop import SECOND
from granitespool.net.management_listener import ManagementListener
from granitespool.net.reconfiguration import without_management_sockets
from granitespool.net.tls import server_context

KEEP_MOST = 5 * SECOND  # ns that a commit's answer waits for the state folder: a worse disk has failed
LOOK = SECOND  # ns between looks at what is notified of: the planner's period
LOOK_PIECE = 200  # backend and zone pairs looked at in one step


ALPN = {"netconf": None, "gnmi": "h2"}  # the protocol that a door's clients must agree to
FRESH = SECOND // 4  # ns for which a picture serves several who ask


class Shared:
    """One picture for all who ask within a short time; whoever works at it works for all.

    `flat` holds what doors made of the newest one, `leaves` (by the text of their path) what they know of a
    leaf for as long as any holds it: a hundred subscribers of the same paths cost one flattening, and a
    value is encoded once. Few objects of their own matter as much: the collector walks them all."""

    def __init__(self, managing):
        self.managing, self.tree, self.at, self.making, self.steps = managing, None, None, None, None
        self.flat, self.leaves = {}, WeakValueDictionary()

    def look(self, now):
        """A state tree that was begun FRESH ago at most, or None after a step towards it."""
        if self.steps is None:
            if self.at is not None and now - self.at < FRESH:
                return self.tree
            self.making, self.at = self.managing.picture(), now
            self.steps = self.making.steps()
        if next(self.steps, self) is self:
            self.tree, self.steps = self.making.tree, None
            self.flat = {}
            return self.tree
        return None


class Managing:
    """`service` has config, coordinator, discovery, keeper, `take(config)` and `waits(config)`."""

    def __init__(self, service, loop, log):
        self.service, self.loop, self.log = service, loop, log
        self.model = Model()
        tree = mapping.tree_of(service.config)
        try:
            self.model.check(tree)
        except ManagementError as refused:
            raise InvalidInputError(
                f"the settings do not fit the managers' model: {refused.reason}"
            ) from None
        self.datastores = Datastores(self.model, self, tree)
        self.base = service.file_tree  # the tree of the files as they were last read
        self.from_file = None  # the configuration that a reload brings, meanwhile
        self.keeping = []  # (ticket, due, answer) of what is on its way to the disk
        self.sessions, self.numbers = {}, 0
        self.list_seen = service.discovery.index, loop.now  # version of the list, since when
        self.cuts, self.levels, self.strained, self.doors = {}, {}, False, []
        operator = service.config["operator"]
        self.users, self.shared = self._users(operator), Shared(self)
        for name, settings in (("netconf", operator.netconf), ("gnmi", operator.gnmi)):
            if settings:
                self._open(name, settings, self._context(operator, name))
        loop.spawn(self._look())

    @staticmethod
    def _users(operator):
        return [User(name, user.certificate, user.read, user.write) for name, user in operator.users.items()]

    @staticmethod
    def _context(operator, door):
        tls = operator.tls
        return server_context(tls.certificate, tls.key, tls.authorities, ALPN[door])

    def _open(self, name, settings, made):
        if name == "netconf":
            from granitespool.netconf.session import NetconfSession as protocol  # noqa: PLC0415 only where it is on
        else:
            from granitespool.gnmi.connection import GnmiConnection as protocol  # noqa: PLC0415
        self.doors.append(
            ManagementListener(
                self.loop,
                self.log,
                name,
                made,
                settings,
                self._user,
                lambda user, session: self._enter(protocol, user, session),
            )
        )

    def _user(self, certificate, digest):
        return find_user(self.users, certificate_identities(certificate, digest))

    # Sessions

    def _enter(self, protocol, user, session):
        self.numbers += 1
        made = protocol(self, user, session, self.numbers)
        self.sessions[self.numbers] = made
        return made

    def left(self, session):
        """A session has ended, however."""
        self.sessions.pop(session.number, None)
        self.datastores.closed(session, self._undone)

    def close(self):
        """A last word to each session that has one, such as HTTP/2's notice to go away."""
        for session in list(self.sessions.values()):
            session.leave()

    def session(self, number):
        return self.sessions.get(int(number)) if number.isdecimal() else None

    @staticmethod
    def number_of(session):
        """A session's number; 0 for the coordinator itself."""
        return getattr(session, "number", 0)

    def failed(self, error):
        self.loop.report_failure(error)

    def _undone(self, error):
        if error:
            self.log.event("rollback_failed", reason=error.reason)

    # The datastores' host

    def _config(self, tree):
        """The configuration that a tree makes of the present one, or the one that a reload brings."""
        if self.from_file:
            return self.from_file
        config = mapping.config_of(tree, self.service.config)
        if config.get("limits") != self.service.config.get("limits"):
            config = without_management_sockets({**config, **shares(config["limits"])})
        return config

    def refused(self, by, why):
        self.log.event("change_rejected", by=by, reason=why)
        self.notify("change-refused", by=by, why=why)

    def check(self, tree, running):
        config = self._config(tree)
        coordinator = self.service.coordinator
        waits = () if self.from_file else self.service.reconfiguration.waiting_for_restart(config)
        impact_check.check(
            config,
            self.service.config,
            coordinator.pictured_fleet()["joined"],
            coordinator.joined_zones(),
            waits,
        )

    def apply(self, tree, by):
        config = self._config(tree)
        try:
            waits = self.service.reconfiguration.take(config)
        except Exception as error:
            self.loop.report_failure(error)
            raise ManagementError(
                "operation-failed", "a part could not take its settings, and all have their former ones again"
            ) from None
        version = self.datastores.version + 1
        self.log.event("settings_changed", by=by, version=version, restart_required=waits)
        self.notify("settings-changed", version=version, by=by)

    def keep(self, tree, version, answer):
        """Has the tree outlast the process where a state folder is on, and answers once it is safe."""
        if self.service.keeper is None:
            return answer(None)
        ticket = self.service.keeper.keep_settings(tree, self.base, version)
        self.keeping.append((ticket, self.loop.now + KEEP_MOST, answer))
        return self.loop.wake()

    def unkeep(self, tree, version):
        """Nobody waits for it: under a slow disk the newest state wins."""
        if self.service.keeper is not None:
            self.service.keeper.keep_settings(tree, self.base, version)

    def keep_startup(self, answer):
        """The same of startup, as it is now."""
        stores = self.datastores
        if self.service.keeper is None:
            stores.reset_startup()
            return answer(
                ManagementError(
                    "operation-failed",
                    "without a state folder nothing outlasts a restart, so "
                    "startup cannot differ from running",
                )
            )

        def kept(why):
            if why:  # it may come there yet: a restart begins with what runs
                stores.reset_startup()
                self.unkeep(stores.tree(STARTUP), stores.version)
            answer(ManagementError("resource-denied", why) if why else None)

        return self.keep(stores.tree(STARTUP), stores.version, kept)

    def end_of_turn(self, now):
        """What is due: a tree that has become safe, a commit that was not confirmed, words for sessions."""
        if self.service.discovery.index != self.list_seen[0]:
            self.list_seen = self.service.discovery.index, now
        waiting, self.keeping = self.keeping, []
        for ticket, due, answer in waiting:
            safe = self.service.keeper.safe(ticket)
            if safe or now >= due:
                answer(None if safe else "the state folder's disk does not take it")
            else:
                self.keeping.append((ticket, due, answer))
        self.datastores.tick(now, self._undone)
        for door in self.doors:
            door.end_of_turn()

    def due(self):
        dues = [self.datastores.due(), *(due for _, due, _ in self.keeping)]
        return min((due for due in dues if due is not None), default=None)

    # The files

    def reread(self, config):
        """The files were read anew, as this configuration; ManagementError changes nothing. Where they hold
        what they held before, what managers have changed since stands."""
        tree = mapping.tree_of(config)
        made = {door.name: self._context(config["operator"], door.name) for door in self.doors}
        if tree == self.base:
            waits = self.service.reconfiguration.take(
                mapping.config_of(self.datastores.tree("running"), config)
            )
        else:
            self.model.check(tree)
            self.from_file = config
            try:
                self.datastores.file(tree)
            finally:
                self.from_file = None
            self.base, waits = tree, self.service.reconfiguration.restart_required
            if self.service.keeper is not None:
                self.service.keeper.keep_settings(None, None, self.datastores.version)
        self.users = self._users(config["operator"])
        for door in self.doors:
            door.context = made[door.name]
        return waits

    # What is told

    def picture(self):
        service, stores = self.service, self.datastores
        return OperationalState(
            service.coordinator,
            ServiceFacts(
                name=service.config["name"],
                version=stores.version,
                commits=stores.commits,
                rejected=stores.rejected,
                list_index=service.discovery.index,
                list_age=self.loop.now - self.list_seen[1],
                list_named=service.discovery.named,
                folder=service.keeper and service.keeper.figures(),
            ),
        )

    def notify(self, name, **fields):
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(self.loop.now // SECOND))
        for session in list(self.sessions.values()):
            session.notify(name, fields, at)

    def _look(self):
        """Looks each second at what subscribers are told of, a few backends a step."""
        while True:
            yield None, 0, self.loop.now + LOOK
            if not any(session.subscribed is not None for session in self.sessions.values()):
                self.cuts = {}
                continue
            coordinator = self.service.coordinator
            fleet = coordinator.pictured_fleet()
            if fleet["strained"] != self.strained:
                self.strained = fleet["strained"]
                self.notify("strain", strained=self.strained)
            levels = {
                (zone, name): level for zone, _, of in fleet["tables"] for name, (level, _) in of.items()
            }
            for (zone, name), share in levels.items():
                # What nothing was ordered of is let in whole
                if self.levels.get((zone, name), max(share, 1.0)) != share:
                    self.notify(
                        "levels-changed", zone=zone, **{"class": name}, share=mapping.decimal_text(share)
                    )
            self.levels = levels
            seen = {}
            for number, name in enumerate(list(coordinator.listed()), 1):
                facts = coordinator.pictured(name)
                for zone, (_, _, cut, _) in (facts[1] if facts else {}).items():
                    seen[name, zone] = cut
                    if self.cuts.get((name, zone), False) != cut:
                        self.notify("backend-cut", backend=name, zone=zone, cut=cut)
                if number % LOOK_PIECE == 0:
                    yield None, 0, self.loop.now
            self.cuts = seen
