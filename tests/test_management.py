"""Unit tests of the model, edits, datastores, mapping, impact check, authorization and operational state."""

import copy

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from support.records import settings_of

from granitespool.coordinator_status import CoordinatorBackendStatus, CoordinatorStatus, ZoneStatus
from granitespool.endpoints import Phase
from granitespool.management import authorization, impact_check, mapping
from granitespool.management.confirmation import CommitOptions
from granitespool.management.datastores import Datastores
from granitespool.management.edits import Change, apply_changes, with_defaults
from granitespool.management.errors import ManagementError
from granitespool.management.model import Model
from granitespool.management.operational_state import OperationalState, ServiceFacts, StateFolderMetrics
from granitespool.management.settings_trees import CANDIDATE, RUNNING, STARTUP
from granitespool.net import config
from granitespool.operator_settings import OperatorSettings, StateSettings
from granitespool.planner.admission_levels import AdmissionLevel
from granitespool.planner.status import BackendStatus, EntryStatus, PlannerStatus
from granitespool.settings import RequestClass

MODEL = Model()
SETTINGS = MODEL.settings
TREE = {
    "class": [{"name": "pay", "promised-time": "100", "time-limit": "400"}, {"name": "ask"}],
    "zone": ["n", "s"],
    "channel": {"lines-per-second": "100.0"},
}


def node(name, *children, operation=None, value=None, placement=None):
    return Change(name, operation, value, tuple(children), placement)


def leaf(name, value=None, operation=None):
    return Change(name, operation, value)


def class_entry(*children, operation=None, name="pay", placement=None):
    return node("class", leaf("name", name), *children, operation=operation, placement=placement)


def rejection_of(call, *arguments):
    with pytest.raises(ManagementError) as raised:
        call(*arguments)
    return raised.value.tag, raised.value.reason


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (class_entry(leaf("benefit", "9.0")), ("class", 0, "benefit", "9.0")),
        (class_entry(leaf("benefit", "9.0"), operation="replace"), ("class", 0, "promised-time", None)),
        (class_entry(operation="delete"), ("class", 0, "name", "ask")),
        (class_entry(operation="remove", name="no"), ("class", 0, "name", "pay")),
        (class_entry(name="new"), ("class", 2, "name", "new")),
        (class_entry(name="new", placement=("first", None)), ("class", 0, "name", "new")),
        (class_entry(name="new", placement=("before", {"name": "ask"})), ("class", 1, "name", "new")),
        (class_entry(placement=("after", {"name": "ask"})), ("class", 1, "name", "pay")),
        (leaf("zone", "x"), ("zone", 2, None, "x")),
        (leaf("zone", "n", "delete"), ("zone", 0, None, "s")),
        (
            node("channel", leaf("message-head", "3.0"), operation="replace"),
            ("channel", None, "lines-per-second", None),
        ),
        (node("channel", leaf("lines-per-second", None, "remove")), ("channel", None, None, None)),
        (node("channel", operation="delete"), ("channel", None, None, None)),
        (node("operator", node("state", leaf("folder", "x"))), ("operator", None, "state", {"folder": "x"})),
    ],
)
def test_an_edit_changes_the_named_node_in_a_copy_of_the_tree(change, expected):
    before = copy.deepcopy(TREE)
    value = apply_changes(SETTINGS, TREE, [change])
    assert before == TREE
    for step in expected[:-1]:
        if step is not None:
            value = value.get(step) if isinstance(value, dict) else value[step]
    assert value == expected[-1]


@pytest.mark.parametrize(
    ("change", "default", "tag"),
    [
        (class_entry(operation="create"), "merge", "data-exists"),
        (class_entry(operation="delete", name="no"), "merge", "data-missing"),
        (leaf("zone", "n", "create"), "merge", "data-exists"),
        (leaf("zone", "x", "delete"), "merge", "data-missing"),
        (node("channel", leaf("message-head", None, "delete")), "merge", "data-missing"),
        (node("drain", operation="delete"), "merge", "data-missing"),
        (node("class", leaf("benefit", "1.0")), "merge", "missing-element"),
        (leaf("nothing", "1"), "merge", "unknown-element"),
        (class_entry(operation="twist"), "merge", "bad-attribute"),
        (class_entry(placement=("before", {"name": "no"})), "merge", "bad-attribute"),
        (class_entry(name="no"), "none", "data-missing"),
        (node("channel", leaf("message-head")), "merge", "missing-element"),
    ],
)
def test_an_invalid_edit_is_rejected_with_the_error_tag_of_the_rfc(change, default, tag):
    assert rejection_of(apply_changes, SETTINGS, TREE, [change], default)[0] == tag


@pytest.mark.parametrize(
    ("changes", "expected_text"),
    [
        ({"zone": []}, "at least one zone"),
        ({"zone": None}, "at least one zone"),
        ({"channel": {"lines-per-second": "0.0"}}, "lines-per-second"),
        ({"channel": {"backlog-limit": "5.0"}}, "needs"),
        ({"channel": {"lines-per-second": 5}}, "decimal64"),
        ({"cold": {"share": "0.5"}}, "share needs time"),
        ({"class": [{"name": "a", "promised-time": "5", "time-limit": "4"}]}, "longer than time-limit"),
        ({"class": [{"name": "a"}, {"name": "a"}]}, "class"),
        ({"class": [{"benefit": "1.0"}]}, "class"),
        ({"class": [{"name": "a b"}]}, "name"),
        ({"operator": {"state": {}}}, "folder"),
        ({"nope": {}}, "no such node"),
        (
            {"operator": {"state": {"folder": "x", "every-ms": 5000, "oldest-s": "2.0"}}},
            "longer than oldest-s",
        ),
    ],
)
def test_a_tree_that_the_module_does_not_allow_is_rejected_in_one_sentence(changes, expected_text):
    tree = {**TREE, **changes}
    tag, reason = rejection_of(MODEL.check, {key: value for key, value in tree.items() if value is not None})
    assert expected_text in reason
    assert "\n" not in reason
    assert tag


def test_defaults_are_added_to_containers_that_are_present():
    tree = with_defaults(SETTINGS, {"zone": ["n"], "operator": {"state": {"folder": "x"}}})
    assert tree["operator"]["state"]["every-ms"] == 1000
    assert "channel" not in tree
    assert with_defaults(SETTINGS, TREE) == TREE


def configuration(**settings):
    return {
        "settings": settings_of(
            {
                "zones": ["n", "s"],
                "classes": [{"name": "pay", "latency_objective": 100_000, "writes": True}],
                "entries_per_s": 100.123456789,
                "message_header": 3,
                "drain_grace": 3 * 10**9,
                "coordinator_index": 4,
                **settings,
            }
        ),
        "operator": OperatorSettings(state=StateSettings(folder="x", half_life_s=12.5)),
    }


def test_a_configuration_and_its_tree_convert_to_each_other_and_unchanged_settings_keep_their_values():
    for original in (
        configuration(),
        config.load("examples/config.json"),
        {"settings": settings_of({"zones": ["n"]})},
    ):
        tree = mapping.tree_of(original)
        MODEL.check(tree)
        assert mapping.config_of(tree, original) == original
    tree = apply_changes(
        SETTINGS,
        mapping.tree_of(configuration()),
        [
            node("drain", leaf("grace", "5000000")),
            class_entry(leaf("benefit", "2.0")),
            node("operator", node("state", leaf("every-ms", 250))),
        ],
    )
    new = mapping.config_of(tree, configuration())
    assert new["settings"].drain_grace == 5 * 10**9
    assert new["settings"].entries_per_s == 100.123456789
    assert new["settings"].classes == [
        RequestClass(name="pay", latency_objective=100_000, writes=True, priority_weight=2)
    ]
    assert new["operator"].state == StateSettings(folder="x", half_life_s=12.5, every_ms=250)
    gone = mapping.config_of(
        apply_changes(
            SETTINGS, tree, [node("drain", operation="delete"), node("operator", operation="delete")]
        ),
        new,
    )
    assert gone["settings"].drain_grace is None
    assert gone["operator"].state is None


@pytest.mark.parametrize(
    ("change", "proxies", "restart_required", "expected_text"),
    [
        ({"classes": []}, 0, (), "without a class"),
        ({"zones": ["n"]}, 0, (), "zone s have joined"),
        ({"entries_per_s": 1}, 10, (), "one drain takes 50.0 s for 10 proxies"),
        ({"backlog_limit": 30}, 10, (), "more than the backlog"),
        ({}, 0, ("classes",), "put it into startup"),
        ({"limits": 2048}, 0, (), "sockets is over the 1024"),
        ({"limits": 512}, 0, (), None),
        ({"entries_per_s": 1}, 0, (), None),
        ({"backlog_limit": 60}, 10, (), None),
    ],
)
def test_the_impact_check_rejects_harmful_changes(change, proxies, restart_required, expected_text):
    limits = {"sockets": change.pop("limits", 1024)}
    new = {**configuration(**change), "limits": limits, "configured_limits": {"sockets": 1024}}
    if expected_text is None:
        return impact_check.check(new, configuration(), proxies, {"n"}, restart_required)
    assert (
        expected_text
        in rejection_of(impact_check.check, new, configuration(), proxies, {"n", "s"}, restart_required)[1]
    )
    return None


CERTIFICATE = {
    "subject": ((("commonName", "ops"),),),
    "subjectAltName": (("DNS", "a.example"), ("email", "a@b"), ("URI", "urn:x"), ("IP Address", "::1")),
}


@pytest.mark.parametrize(
    ("certificate", "found"),
    [
        ("cn:ops", True),
        ("cn:OPS", False),
        ("dns:a.example", True),
        ("dns:ops", False),
        ("email:a@b", True),
        ("uri:urn:x", True),
        ("sha256:AB:CD", True),
        ("sha256:abce", False),
        ("dns:::1", False),
    ],
)
def test_a_user_is_found_by_one_identity_of_the_certificate(certificate, found):
    user = authorization.User("u", certificate, True, "class, zone")
    assert (
        authorization.find_user([user], authorization.certificate_identities(CERTIFICATE, "abcd")) is user
    ) == found
    authorization.require_write(user, ["class"])
    assert rejection_of(authorization.require_write, user, ["class", "cold"]) == (
        "access-denied",
        "u may not write cold",
    )
    assert (
        rejection_of(authorization.require_read, authorization.User("u", certificate, False, ""))[0]
        == "access-denied"
    )
    authorization.require_write(authorization.User("u", certificate, False, "*"), ["cold"])


class FakeHost:
    """A host of the datastores that records changes.

    `check_error` and `apply_error` are reasons for rejecting all changes, None to accept them. Trees are
    saved at once, or by `finish_save` if `deferred` is set: `saves` holds the callbacks until then.
    """

    def __init__(self):
        self.applied, self.check_error, self.apply_error, self.deferred, self.saves = (
            [],
            None,
            None,
            False,
            [],
        )
        self.rejections, self.replaced_saves = [], []

    def check(self, tree, running):
        if self.check_error:
            raise ManagementError("operation-failed", self.check_error)

    def save(self, tree, version, on_done):
        self.saves.append(on_done)
        if not self.deferred:
            self.finish_save(None)

    def finish_save(self, reason):
        self.saves.pop(0)(reason)

    def replace_saved(self, tree, version):
        self.replaced_saves.append(tree)

    def on_rejected(self, by, reason):
        self.rejections.append(reason)

    def apply(self, tree, by):
        if self.apply_error:
            raise ManagementError("operation-failed", self.apply_error)
        self.applied.append(tree)


class DatastoresHarness:
    """Datastores with a fake host, and shortcuts for the requests of sessions."""

    def __init__(self):
        self.host = FakeHost()
        self.datastores, self.now = Datastores(MODEL, self.host, copy.deepcopy(TREE)), 0

    def edit(self, session, lines_per_second, datastore=CANDIDATE):
        self.datastores.edit(
            session, datastore, [node("channel", leaf("lines-per-second", lines_per_second))]
        )

    def commit(self, session, **more):
        results = []
        self.datastores.commit(session, session, self.now, results.append, CommitOptions(**more))
        return results[0].tag if results and results[0] else "ok" if results else "pending"

    def lines_per_second(self, datastore=RUNNING):
        return self.datastores.tree(datastore)["channel"]["lines-per-second"]


def test_a_commit_is_checked_saved_and_applied_in_this_order():
    harness = DatastoresHarness()
    harness.edit("a", "5.0")
    harness.host.deferred = True
    assert harness.commit("a") == "pending"
    assert not harness.host.applied
    assert harness.lines_per_second() == "100.0"
    assert harness.commit("b") == "in-use"
    harness.host.finish_save(None)
    assert harness.lines_per_second() == "5.0"
    assert harness.host.applied[0]["channel"] == {"lines-per-second": "5.0"}
    assert harness.datastores.version == 2


@pytest.mark.parametrize("failure", ["check_error", "apply_error", "disk"])
def test_a_rejected_commit_changes_nothing(failure):
    harness = DatastoresHarness()
    harness.edit("a", "5.0")
    if failure == "disk":
        harness.host.deferred = True
        harness.commit("a")
        harness.host.finish_save("full")
    else:
        setattr(harness.host, failure, "no")
        assert harness.commit("a") == "operation-failed"
    assert harness.lines_per_second() == "100.0"
    assert harness.datastores.version == 1
    assert not harness.host.applied
    assert harness.lines_per_second(CANDIDATE) == "5.0"
    assert harness.datastores.changes.committing_session is None
    assert harness.datastores.rejected == 1 == len(harness.host.rejections)
    assert harness.host.replaced_saves == (
        [] if failure == "check_error" else [harness.datastores.tree(RUNNING)]
    )


def test_a_commit_of_a_candidate_based_on_an_outdated_version_is_rejected():
    harness = DatastoresHarness()
    harness.edit("a", "5.0")
    harness.datastores.apply_file({**TREE, "channel": {"lines-per-second": "7.0"}})
    assert harness.commit("a") == "operation-failed"
    assert harness.lines_per_second() == "7.0"
    harness.datastores.discard("a")
    harness.edit("a", "6.0")
    assert harness.commit("a") == "ok"
    assert harness.lines_per_second() == "6.0"


def test_a_lock_excludes_other_sessions_and_is_released_when_its_session_closes():
    harness = DatastoresHarness()
    harness.datastores.lock("a", CANDIDATE)
    harness.datastores.lock("a", RUNNING)
    assert rejection_of(harness.datastores.lock, "b", CANDIDATE)[0] == "lock-denied"
    assert rejection_of(harness.edit, "b", "5.0")[0] == "in-use"
    assert harness.commit("b") == "in-use"
    assert rejection_of(harness.datastores.unlock, "b", CANDIDATE)[0] == "operation-failed"
    assert rejection_of(harness.datastores.apply_file, TREE)[0] == "in-use"
    harness.edit("a", "5.0")
    harness.datastores.close_session("a", None)
    assert not harness.datastores.locks.holders()
    assert harness.lines_per_second(CANDIDATE) == "100.0"
    harness.edit("b", "5.0")
    assert rejection_of(harness.datastores.lock, "a", CANDIDATE)[0] == "lock-denied"
    assert harness.commit("b") == "ok"
    harness.datastores.lock("a", CANDIDATE)


@pytest.mark.parametrize(
    ("end", "lines_per_second"),
    [
        ("confirm", "5.0"),
        ("time", "100.0"),
        ("closed", "100.0"),
        ("cancel", "100.0"),
        ("persist", "5.0"),
        ("persist closed", "5.0"),
        ("again", "6.0"),
        ("again time", "100.0"),
        ("closed while busy", "100.0"),
    ],
)
def test_a_confirmed_commit_is_undone_unless_it_is_confirmed(end, lines_per_second):
    harness = DatastoresHarness()
    harness.edit("a", "5.0")
    persist = "p" if "persist" in end else None
    assert harness.commit("a", timeout=10, persist=persist) == "ok"
    assert harness.lines_per_second() == "5.0"
    assert harness.commit("b") == "in-use"
    assert rejection_of(harness.datastores.apply_file, TREE)[0] == "in-use"
    harness.now = 5 * 10**9
    if end == "confirm":
        assert harness.commit("a") == "ok"
    elif end.startswith("again"):
        harness.edit("a", "6.0")
        assert harness.commit("a", timeout=10) == "ok"
        assert harness.lines_per_second() == "6.0"
        harness.now = 14 * 10**9
        harness.datastores.tick(harness.now, None)
        assert harness.lines_per_second() == "6.0"
        if end == "again":
            assert harness.commit("a") == "ok"
    elif end == "persist":
        assert harness.commit("b", persist_id="q") == "invalid-value"
        assert harness.commit("b", persist_id="p") == "ok"
    elif end == "persist closed":
        harness.datastores.close_session("a", None)
        assert harness.commit("b", persist_id="p") == "ok"
    elif end == "closed":
        harness.datastores.close_session("a", lambda error: None)
    elif end == "closed while busy":
        harness.host.deferred = True
        assert harness.commit("a") == "pending"
        harness.datastores.close_session("a", lambda error: None)
        harness.host.finish_save("full")
    elif end == "cancel":
        results = []
        harness.datastores.cancel("a", "a", None, results.append)
        assert results == [None]
    harness.now = 30 * 10**9
    harness.datastores.tick(harness.now, lambda error: None)
    assert harness.lines_per_second() == lines_per_second
    assert harness.datastores.pending_confirmation is None
    harness.edit("c", "8.0")
    assert harness.commit("c") in ("ok", "pending")


def test_startup_differs_from_running_until_it_is_deleted():
    harness = DatastoresHarness()
    harness.edit("a", "5.0", STARTUP)
    assert harness.lines_per_second(STARTUP) == "5.0"
    assert harness.lines_per_second() == "100.0"
    harness.datastores.delete("a", STARTUP)
    assert harness.lines_per_second(STARTUP) == "100.0"
    assert rejection_of(harness.datastores.delete, "a", CANDIDATE)[0] == "operation-not-supported"
    assert rejection_of(harness.edit, "a", "5.0", RUNNING)[0] == "operation-not-supported"
    harness.datastores.copy("a", CANDIDATE, {**TREE, "zone": ["n"]})
    assert harness.commit("a") == "ok"
    assert harness.datastores.tree(RUNNING)["zone"] == ["n"]


def test_the_operational_state_is_valid_by_the_yang_module():
    class Coordinator:
        def status(self):
            planner = PlannerStatus(
                joined=2,
                unassigned=1,
                in_flight=-3,
                acknowledgement_latency=5000,
                is_overloaded=True,
                admitted_share=0.5,
                success_ratio=1.2,
            )
            zones = [ZoneStatus("n", 2, {"pay": AdmissionLevel(0.5, 1)}), ZoneStatus("s", 0, {})]
            return CoordinatorStatus(planner, zones)

        def endpoint_states(self):
            return {"a": None, "b": None, "gone": None}

        def backend_status(self, name):
            if name == "gone":
                return None
            entries = {
                "n": EntryStatus(weight=0.0, cost=1e20, is_ejected=name == "a"),
                "s": EntryStatus(weight=2.0, cost=None, is_ejected=False),
            }
            planner = BackendStatus(
                phase=Phase.READY, zone="n", machine_type=None, verified=name == "a", entries=entries
            )
            return CoordinatorBackendStatus(planner, is_excluded=False)

    facts = ServiceFacts(
        name="c",
        version=1,
        commits=0,
        rejected=0,
        list_index=3,
        list_age=5000,
        has_endpoint_list=True,
        folder=StateFolderMetrics(7, 2, False),
    )
    state = OperationalState(Coordinator(), facts)
    assert len(list(state.steps())) >= 1
    absence_reasons = [view.get("out") for backend in state.tree["backend"] for view in backend["seen-from"]]
    assert absence_reasons == ["cut", None, "unproven", None]
    instance = MODEL.data.from_raw({"granitespool:coordinator": {"state": state.tree}})
    from yangson.enumerations import ContentType  # noqa: PLC0415

    instance.validate(ctype=ContentType.all)


LINES_PER_SECOND = st.sampled_from(["1.0", "2.0", "3.0", "0.0"])
SESSIONS = st.sampled_from(["a", "b", "c"])


class ConcurrentSessions(RuleBasedStateMachine):
    """Random edits, locks, commits and closes of sessions, and reloads of files; checks invariants."""

    @initialize()
    def begin(self):
        self.harness, self.version, self.open = DatastoresHarness(), 1, {"a", "b", "c"}

    def _try(self, call, *arguments):
        try:
            call(*arguments)
        except ManagementError as error:
            assert error.reason
            assert "\n" not in error.reason

    @rule(
        session=SESSIONS,
        lines_per_second=LINES_PER_SECOND,
        test=st.sampled_from(["set", "test-then-set", "test-only"]),
    )
    def edit(self, session, lines_per_second, test):
        self._try(
            self.harness.datastores.edit,
            session,
            CANDIDATE,
            [node("channel", leaf("lines-per-second", lines_per_second))],
            "merge",
            test,
        )

    @rule(
        session=SESSIONS,
        datastore=st.sampled_from([RUNNING, CANDIDATE, STARTUP]),
        verb=st.sampled_from(["lock", "unlock"]),
    )
    def lock(self, session, datastore, verb):
        self._try(getattr(self.harness.datastores, verb), session, datastore)

    @rule(session=SESSIONS, timeout=st.none() | st.integers(1, 5), persist=st.none() | st.just("p"))
    def commit(self, session, timeout, persist):
        before = copy.deepcopy(self.harness.datastores.tree(RUNNING))
        result = self.harness.commit(session, timeout=timeout, persist=persist if timeout else None)
        if result not in ("ok", "pending"):
            assert self.harness.datastores.tree(RUNNING) == before

    @rule(session=SESSIONS)
    def confirm(self, session):
        self.harness.commit(session, persist_id="p")

    @rule(session=SESSIONS)
    def close_session(self, session):
        self.harness.datastores.close_session(session, lambda error: None)
        assert session not in self.harness.datastores.locks.holders()
        assert self.harness.datastores.trees.candidate_editor != session

    @rule(session=SESSIONS)
    def discard(self, session):
        self._try(self.harness.datastores.discard, session)

    @rule(lines_per_second=st.sampled_from(["4.0", "5.0"]))
    def file(self, lines_per_second):
        self._try(
            self.harness.datastores.apply_file, {**TREE, "channel": {"lines-per-second": lines_per_second}}
        )

    @rule(seconds=st.integers(1, 4))
    def time(self, seconds):
        self.harness.now += seconds * 10**9
        self.harness.datastores.tick(self.harness.now, lambda error: None)

    @rule(attribute=st.sampled_from([("check_error", "no"), ("apply_error", "no"), ("deferred", True)]))
    def failure(self, attribute):
        setattr(self.harness.host, *attribute)

    @rule(reason=st.none() | st.just("full"))
    def recover(self, reason):
        self.harness.host.check_error = self.harness.host.apply_error = None
        self.harness.host.deferred = False
        while self.harness.host.saves:
            self.harness.host.finish_save(reason)

    @invariant()
    def running_is_valid_and_equals_the_applied_tree_and_versions_only_grow(self):
        if not hasattr(self, "harness"):
            return
        datastores = self.harness.datastores
        MODEL.check(datastores.tree(RUNNING))
        applied = self.harness.host.applied
        assert datastores.tree(RUNNING) == (applied[-1] if applied else TREE)
        assert datastores.version >= self.version
        assert datastores.version - 1 == len(applied) == datastores.commits
        self.version = datastores.version
        assert (datastores.changes.committing_session is not None) == bool(self.harness.host.saves)


ConcurrentSessions.TestCase.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestConcurrentSessions = ConcurrentSessions.TestCase
