"""The model, edits, datastores, mapping, impact check, authorization and operational state."""

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


def node(name, *children, op=None, value=None, place=None):
    return Change(name, op, value, tuple(children), place)


def leaf(name, value=None, op=None):
    return Change(name, op, value)


def pay(*children, op=None, name="pay", place=None):
    return node("class", leaf("name", name), *children, op=op, place=place)


def rejection_of(call, *words):
    with pytest.raises(ManagementError) as raised:
        call(*words)
    return raised.value.tag, raised.value.reason


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (pay(leaf("benefit", "9.0")), ("class", 0, "benefit", "9.0")),
        (pay(leaf("benefit", "9.0"), op="replace"), ("class", 0, "promised-time", None)),
        (pay(op="delete"), ("class", 0, "name", "ask")),
        (pay(op="remove", name="no"), ("class", 0, "name", "pay")),
        (pay(name="new"), ("class", 2, "name", "new")),
        (pay(name="new", place=("first", None)), ("class", 0, "name", "new")),
        (pay(name="new", place=("before", {"name": "ask"})), ("class", 1, "name", "new")),
        (pay(place=("after", {"name": "ask"})), ("class", 1, "name", "pay")),
        (leaf("zone", "x"), ("zone", 2, None, "x")),
        (leaf("zone", "n", "delete"), ("zone", 0, None, "s")),
        (
            node("channel", leaf("message-head", "3.0"), op="replace"),
            ("channel", None, "lines-per-second", None),
        ),
        (node("channel", leaf("lines-per-second", None, "remove")), ("channel", None, None, None)),
        (node("channel", op="delete"), ("channel", None, None, None)),
        (node("operator", node("state", leaf("folder", "x"))), ("operator", None, "state", {"folder": "x"})),
    ],
)
def test_an_edit_changes_what_it_names_and_not_the_tree_it_was_given(change, expected):
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
        (pay(op="create"), "merge", "data-exists"),
        (pay(op="delete", name="no"), "merge", "data-missing"),
        (leaf("zone", "n", "create"), "merge", "data-exists"),
        (leaf("zone", "x", "delete"), "merge", "data-missing"),
        (node("channel", leaf("message-head", None, "delete")), "merge", "data-missing"),
        (node("drain", op="delete"), "merge", "data-missing"),
        (node("class", leaf("benefit", "1.0")), "merge", "missing-element"),
        (leaf("nothing", "1"), "merge", "unknown-element"),
        (pay(op="twist"), "merge", "bad-attribute"),
        (pay(place=("before", {"name": "no"})), "merge", "bad-attribute"),
        (pay(name="no"), "none", "data-missing"),
        (node("channel", leaf("message-head")), "merge", "missing-element"),
    ],
)
def test_a_wrong_edit_is_rejected_with_the_rfcs_tag(change, default, tag):
    assert rejection_of(apply_changes, SETTINGS, TREE, [change], default)[0] == tag


@pytest.mark.parametrize(
    ("part", "words"),
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
def test_a_tree_that_the_module_does_not_allow_is_rejected_in_one_sentence(part, words):
    tree = {**TREE, **part}
    tag, why = rejection_of(MODEL.check, {key: value for key, value in tree.items() if value is not None})
    assert words in why
    assert "\n" not in why
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


def test_a_configuration_and_its_tree_map_to_each_other_and_unchanged_settings_keep_their_values():
    for each in (
        configuration(),
        config.load("examples/config.json"),
        {"settings": settings_of({"zones": ["n"]})},
    ):
        tree = mapping.tree_of(each)
        MODEL.check(tree)
        assert mapping.config_of(tree, each) == each
    tree = apply_changes(
        SETTINGS,
        mapping.tree_of(configuration()),
        [
            node("drain", leaf("grace", "5000000")),
            pay(leaf("benefit", "2.0")),
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
        apply_changes(SETTINGS, tree, [node("drain", op="delete"), node("operator", op="delete")]), new
    )
    assert gone["settings"].drain_grace is None
    assert gone["operator"].state is None


@pytest.mark.parametrize(
    ("change", "proxies", "waits", "words"),
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
def test_the_impact_check_rejects_harmful_changes(change, proxies, waits, words):
    limits = {"sockets": change.pop("limits", 1024)}
    new = {**configuration(**change), "limits": limits, "configured_limits": {"sockets": 1024}}
    if words is None:
        return impact_check.check(new, configuration(), proxies, {"n"}, waits)
    assert words in rejection_of(impact_check.check, new, configuration(), proxies, {"n", "s"}, waits)[1]
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
def test_a_user_is_identified_by_one_thing_of_its_certificate(certificate, found):
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


class Host:
    """What the datastores act on: keeps and applies at once, later, or not at all, as it is told."""

    def __init__(self):
        self.applied, self.impact, self.fault, self.later, self.asked = [], None, None, False, []
        self.told, self.unkept = [], []

    def check(self, tree, running):
        if self.impact:
            raise ManagementError("operation-failed", self.impact)

    def save(self, tree, version, answer):
        self.asked.append(answer)
        if not self.later:
            self.kept(None)

    def kept(self, why):
        self.asked.pop(0)(why)

    def replace_saved(self, tree, version):
        self.unkept.append(tree)

    def on_rejected(self, by, why):
        self.told.append(why)

    def apply(self, tree, by):
        if self.fault:
            raise ManagementError("operation-failed", self.fault)
        self.applied.append(tree)


class Stores:
    """Datastores, their host, and short words for what sessions ask."""

    def __init__(self):
        self.host = Host()
        self.stores, self.now = Datastores(MODEL, self.host, copy.deepcopy(TREE)), 0

    def edit(self, who, pace, store=CANDIDATE):
        self.stores.edit(who, store, [node("channel", leaf("lines-per-second", pace))])

    def commit(self, who, **more):
        answers = []
        self.stores.commit(who, who, self.now, answers.append, CommitOptions(**more))
        return answers[0].tag if answers and answers[0] else "ok" if answers else "waits"

    def pace(self, store=RUNNING):
        return self.stores.tree(store)["channel"]["lines-per-second"]


def test_a_commit_is_checked_kept_and_applied_in_this_order():
    s = Stores()
    s.edit("a", "5.0")
    s.host.later = True
    assert s.commit("a") == "waits"
    assert not s.host.applied
    assert s.pace() == "100.0"
    assert s.commit("b") == "in-use"
    s.host.kept(None)
    assert s.pace() == "5.0"
    assert s.host.applied[0]["channel"] == {"lines-per-second": "5.0"}
    assert s.stores.version == 2


@pytest.mark.parametrize("failure", ["impact", "fault", "disk"])
def test_a_rejected_commit_changes_nothing(failure):
    s = Stores()
    s.edit("a", "5.0")
    if failure == "disk":
        s.host.later = True
        s.commit("a")
        s.host.kept("full")
    else:
        setattr(s.host, failure, "no")
        assert s.commit("a") == "operation-failed"
    assert s.pace() == "100.0"
    assert s.stores.version == 1
    assert not s.host.applied
    assert s.pace(CANDIDATE) == "5.0"
    assert s.stores.changes.committing_session is None
    assert s.stores.rejected == 1 == len(s.host.told)
    assert s.host.unkept == ([] if failure == "impact" else [s.stores.tree(RUNNING)])


def test_a_commit_begun_from_an_outdated_version_is_rejected():
    s = Stores()
    s.edit("a", "5.0")
    s.stores.apply_file({**TREE, "channel": {"lines-per-second": "7.0"}})
    assert s.commit("a") == "operation-failed"
    assert s.pace() == "7.0"
    s.stores.discard("a")
    s.edit("a", "6.0")
    assert s.commit("a") == "ok"
    assert s.pace() == "6.0"


def test_locks_exclude_others_and_end_with_their_session():
    s = Stores()
    s.stores.lock("a", CANDIDATE)
    s.stores.lock("a", RUNNING)
    assert rejection_of(s.stores.lock, "b", CANDIDATE)[0] == "lock-denied"
    assert rejection_of(s.edit, "b", "5.0")[0] == "in-use"
    assert s.commit("b") == "in-use"
    assert rejection_of(s.stores.unlock, "b", CANDIDATE)[0] == "operation-failed"
    assert rejection_of(s.stores.apply_file, TREE)[0] == "in-use"
    s.edit("a", "5.0")
    s.stores.close_session("a", None)
    assert not s.stores.locks.holders()
    assert s.pace(CANDIDATE) == "100.0"
    s.edit("b", "5.0")
    assert rejection_of(s.stores.lock, "a", CANDIDATE)[0] == "lock-denied"
    assert s.commit("b") == "ok"
    s.stores.lock("a", CANDIDATE)


@pytest.mark.parametrize(
    ("end", "pace"),
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
def test_a_confirmed_commit_stands_or_is_undone(end, pace):
    s = Stores()
    s.edit("a", "5.0")
    persist = "p" if "persist" in end else None
    assert s.commit("a", timeout=10, persist=persist) == "ok"
    assert s.pace() == "5.0"
    assert s.commit("b") == "in-use"
    assert rejection_of(s.stores.apply_file, TREE)[0] == "in-use"
    s.now = 5 * 10**9
    if end == "confirm":
        assert s.commit("a") == "ok"
    elif end.startswith("again"):
        s.edit("a", "6.0")
        assert s.commit("a", timeout=10) == "ok"
        assert s.pace() == "6.0"
        s.now = 14 * 10**9
        s.stores.tick(s.now, None)
        assert s.pace() == "6.0"
        if end == "again":
            assert s.commit("a") == "ok"
    elif end == "persist":
        assert s.commit("b", persist_id="q") == "invalid-value"
        assert s.commit("b", persist_id="p") == "ok"
    elif end == "persist closed":
        s.stores.close_session("a", None)
        assert s.commit("b", persist_id="p") == "ok"
    elif end == "closed":
        s.stores.close_session("a", lambda error: None)
    elif end == "closed while busy":
        s.host.later = True
        assert s.commit("a") == "waits"
        s.stores.close_session("a", lambda error: None)
        s.host.kept("full")
    elif end == "cancel":
        answers = []
        s.stores.cancel("a", "a", None, answers.append)
        assert answers == [None]
    s.now = 30 * 10**9
    s.stores.tick(s.now, lambda error: None)
    assert s.pace() == pace
    assert s.stores.pending_confirmation is None
    s.edit("c", "8.0")
    assert s.commit("c") in ("ok", "waits")


def test_startup_is_what_a_restart_begins_with_until_the_next_commit():
    s = Stores()
    s.edit("a", "5.0", STARTUP)
    assert s.pace(STARTUP) == "5.0"
    assert s.pace() == "100.0"
    s.stores.delete("a", STARTUP)
    assert s.pace(STARTUP) == "100.0"
    assert rejection_of(s.stores.delete, "a", CANDIDATE)[0] == "operation-not-supported"
    assert rejection_of(s.edit, "a", "5.0", RUNNING)[0] == "operation-not-supported"
    s.stores.copy("a", CANDIDATE, {**TREE, "zone": ["n"]})
    assert s.commit("a") == "ok"
    assert s.stores.tree(RUNNING)["zone"] == ["n"]


def test_the_operational_state_is_valid_by_the_module():
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
    outs = [view.get("out") for each in state.tree["backend"] for view in each["seen-from"]]
    assert outs == ["cut", None, "unproven", None]
    instance = MODEL.data.from_raw({"granitespool:coordinator": {"state": state.tree}})
    from yangson.enumerations import ContentType  # noqa: PLC0415

    instance.validate(ctype=ContentType.all)


PACES = st.sampled_from(["1.0", "2.0", "3.0", "0.0"])
WHO = st.sampled_from(["a", "b", "c"])


class ConcurrentSessions(RuleBasedStateMachine):
    """Sessions that edit, lock, commit and drop at random, files that are read anew, against plain facts."""

    @initialize()
    def begin(self):
        self.s, self.version, self.open = Stores(), 1, {"a", "b", "c"}

    def _try(self, call, *words):
        try:
            call(*words)
        except ManagementError as error:
            assert error.reason
            assert "\n" not in error.reason

    @rule(who=WHO, pace=PACES, test=st.sampled_from(["set", "test-then-set", "test-only"]))
    def edit(self, who, pace, test):
        self._try(
            self.s.stores.edit,
            who,
            CANDIDATE,
            [node("channel", leaf("lines-per-second", pace))],
            "merge",
            test,
        )

    @rule(
        who=WHO,
        store=st.sampled_from([RUNNING, CANDIDATE, STARTUP]),
        verb=st.sampled_from(["lock", "unlock"]),
    )
    def lock(self, who, store, verb):
        self._try(getattr(self.s.stores, verb), who, store)

    @rule(who=WHO, timeout=st.none() | st.integers(1, 5), persist=st.none() | st.just("p"))
    def commit(self, who, timeout, persist):
        before = copy.deepcopy(self.s.stores.tree(RUNNING))
        result = self.s.commit(who, timeout=timeout, persist=persist if timeout else None)
        if result not in ("ok", "waits"):
            assert self.s.stores.tree(RUNNING) == before

    @rule(who=WHO)
    def confirm(self, who):
        self.s.commit(who, persist_id="p")

    @rule(who=WHO)
    def drop(self, who):
        self.s.stores.close_session(who, lambda error: None)
        assert who not in self.s.stores.locks.holders()
        assert self.s.stores.trees.candidate_editor != who

    @rule(who=WHO)
    def discard(self, who):
        self._try(self.s.stores.discard, who)

    @rule(pace=st.sampled_from(["4.0", "5.0"]))
    def file(self, pace):
        self._try(self.s.stores.apply_file, {**TREE, "channel": {"lines-per-second": pace}})

    @rule(seconds=st.integers(1, 4))
    def time(self, seconds):
        self.s.now += seconds * 10**9
        self.s.stores.tick(self.s.now, lambda error: None)

    @rule(what=st.sampled_from([("impact", "no"), ("fault", "no"), ("later", True)]))
    def failure(self, what):
        setattr(self.s.host, *what)

    @rule(why=st.none() | st.just("full"))
    def mend(self, why):
        self.s.host.impact = self.s.host.fault = None
        self.s.host.later = False
        while self.s.host.asked:
            self.s.host.kept(why)

    @invariant()
    def running_is_valid_is_what_was_applied_and_versions_only_grow(self):
        if not hasattr(self, "s"):
            return
        stores = self.s.stores
        MODEL.check(stores.tree(RUNNING))
        applied = self.s.host.applied
        assert stores.tree(RUNNING) == (applied[-1] if applied else TREE)
        assert stores.version >= self.version
        assert stores.version - 1 == len(applied) == stores.commits
        self.version = stores.version
        assert (stores.changes.committing_session is not None) == bool(self.s.host.asked)


ConcurrentSessions.TestCase.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestConcurrentSessions = ConcurrentSessions.TestCase
