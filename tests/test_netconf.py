"""NETCONF over TLS on loopback: usual sessions, sessions that are dropped, bad peers, and ncclient."""

import os
import re
import signal
import socket
import ssl
import subprocess
import sys
import time

import pytest
from lxml import etree
from ncclient import manager as ncclient_manager
from ncclient.operations import RPCError
from support.records import told_settings
from support.service_thread import ServiceThread, alive, keys

from granitespool.netconf.errors import FramingError, MalformedMessageError
from granitespool.netconf.framing import END_OF_MESSAGE, MessageReader, frame
from granitespool.netconf.xmltree import parse_message
from granitespool.planner.events import LoadReport
from granitespool.simulation.netconf_client import HELLO, ConnectionEndedError, NetconfClient, reply_tag, top

PACE = "<channel><lines-per-second>{}</lines-per-second></channel>"
BASE = "urn:ietf:params:xml:ns:netconf:base:1.0"


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    return keys(tmp_path_factory.mktemp("keys"))


@pytest.fixture
def house(tmp_path, folder):
    with ServiceThread(tmp_path, folder) as house:
        yield house


# Framing and XML


@pytest.mark.parametrize("size", [1, 2, 3, 7, 100_000])
@pytest.mark.parametrize("chunked", [False, True])
def test_messages_are_complete_however_their_bytes_arrive(chunked, size):
    reader, got = MessageReader(1000), []
    reader.chunked = chunked
    data = b"".join(frame(message, chunked) for message in (b"<a/>", b"<b>]] ></b>", b"<c/>"))
    for at in range(0, len(data), size):
        reader.feed(data[at : at + size])
        got += reader.messages()
    assert got == [b"<a/>", b"<b>]] ></b>", b"<c/>"]


def test_a_message_may_come_in_many_chunks():
    reader = MessageReader(1000)
    reader.chunked = True
    reader.feed(b"\n#4\n<a/>\n#3\n<b/\n#1\n>\n##\n\n#4\n<c/>\n##\n")
    assert list(reader.messages()) == [b"<a/><b/>", b"<c/>"]


@pytest.mark.parametrize(
    "chunked, data, words",
    [
        (False, b"x" * 1100, "over 1000"),
        (True, b"hello", "does not begin"),
        (True, b"\n#x\n", "the length"),
        (True, b"\n#0\n", "the length"),
        (True, b"\n#9999999999\n", "the length"),
        (True, b"\n#1001\n", "over 1000"),
        (True, b"\n#600\n" + b"x" * 600 + b"\n#600\n", "over 1000"),
        (True, b"\n#11111111111111", "no end"),
    ],
)
def test_bytes_that_are_no_frame_are_rejected(chunked, data, words):
    reader = MessageReader(1000)
    reader.chunked = chunked
    reader.feed(data)
    with pytest.raises(FramingError, match=words):
        list(reader.messages())


@pytest.mark.parametrize(
    "data, words",
    [
        (b"<a", "not XML"),
        (b"", "not XML"),
        (b'<!DOCTYPE a [<!ENTITY x "y">]><a>&x;</a>', "DTD"),
        (b'<!DOCTYPE a SYSTEM "file:///etc/hostname"><a/>', "DTD"),
        (b"<a>" * 70 + b"</a>" * 70, "over 64 deep"),
        (b"<a>" + b"<b/>" * 50_001 + b"</a>", "elements"),
        (b"<a>&lol;</a>", "not XML"),
        (b"\xff\xfe", "not XML"),
        ('<!DOCTYPE a [<!ENTITY x "y">]><a>&x;</a>'.encode("utf-16"), "DTD"),
    ],
)
def test_xml_over_the_limits_is_rejected(data, words):
    with pytest.raises(MalformedMessageError, match=words):
        parse_message(data)


# Usual sessions


@pytest.mark.parametrize("minor", [0, 1])
def test_both_framings_read_state_and_commit_a_change_that_takes_effect(house, minor):
    one = house.manager(minor=minor)
    assert "base:1.1" in one.hello and "granitespool&amp;revision=2026-12-01" in one.hello
    state = one.ask("<get/>")
    assert state.count("<backend>") == 6 and "<phase>ready</phase>" in state
    assert "<weight>1.0</weight>" in state
    assert reply_tag(one.edit(PACE.format("500.0"))) == "ok" and house.settings()["entries_per_s"] == 1000.0
    assert "<lines-per-second>500.0<" in one.config("candidate")
    assert "<lines-per-second>1000.0<" in one.config()
    assert reply_tag(one.commit()) == "ok" and house.settings()["entries_per_s"] == 500
    assert "<version>2</version>" in one.ask("<get/>")
    ages = []
    for index in (1, 1, 2):
        house.service.discovery.index = index  # as a message of the list sets it, in a turn
        house.service.loop.wake()
        time.sleep(0.25)
        ages.append(int(re.search(r"<age>(\d+)<", one.ask("<get/>"))[1]))
    assert 200_000 < ages[0] < ages[1] - 200_000 and ages[2] < ages[1]
    house.logged("settings_changed", by="operations", version=2)
    most = house.service.streams.admission.connections_limit
    assert (
        reply_tag(one.edit("<limits><descriptors>512</descriptors></limits>"))
        == reply_tag(one.commit())
        == "ok"
    )
    assert house.service.streams.admission.connections_limit == most - 512
    assert house.service.health_checks.limit == 64
    assert reply_tag(one.edit("<limits><descriptors>4096</descriptors></limits>")) == "ok"
    assert "over the 1024" in one.commit() and reply_tag(one.ask("<discard-changes/>")) == "ok"
    assert reply_tag(one.ask("<close-session/>")) == "ok"
    with pytest.raises(ConnectionEndedError):
        one.receive()


@pytest.mark.parametrize(
    "body, tag",
    [
        ("<nothing/>", "operation-not-supported"),
        ("<get-config/>", "missing-element"),
        ("<get-config><source><url>x</url></source></get-config>", "operation-not-supported"),
        ("<get-config><source><nowhere/></source></get-config>", "bad-element"),
        ("<edit-config><target><candidate/></target></edit-config>", "missing-element"),
        ("<edit-config><target><running/></target><config/></edit-config>", "operation-not-supported"),
        ("<commit><confirmed/><confirm-timeout>x</confirm-timeout></commit>", "invalid-value"),
        ("<commit><persist-id>x</persist-id></commit>", "invalid-value"),
        ("<cancel-commit/>", "operation-failed"),
        ("<unlock><target><running/></target></unlock>", "operation-failed"),
        ("<kill-session><session-id>77</session-id></kill-session>", "invalid-value"),
        ("<delete-config><target><running/></target></delete-config>", "operation-not-supported"),
        ("<get><filter type='regex'/></get>", "bad-attribute"),
        ("<get><filter type='xpath'/></get>", "missing-attribute"),
        ("<get><filter type='xpath' select='//['/></get>", "invalid-value"),
        ("<get><filter type='xpath' select='1+1'/></get>", "invalid-value"),
        ("<get/><get/>", "malformed-message"),
        (
            "<edit-config><target><candidate/></target><test-option>maybe</test-option><config/></edit-config>",
            "invalid-value",
        ),
        (
            "<edit-config><target><candidate/></target><config><other xmlns='urn:x'/></config></edit-config>",
            "unknown-namespace",
        ),
    ],
)
def test_a_rejected_operation_has_the_rfcs_tag_and_the_session_goes_on(house, body, tag):
    one = house.manager()
    answer = one.ask(body)
    assert reply_tag(answer) == tag and "<error-message" in answer and reply_tag(one.ask("<get/>")) == "ok"
    assert reply_tag(one.ask("<get/>", "")) == "missing-attribute"


@pytest.mark.parametrize(
    "settings, tag, path",
    [
        (PACE.format("0"), "invalid-value", "/gs:channel/gs:lines-per-second"),
        (PACE.format("many"), "invalid-value", "lines-per-second"),
        ("<cold><share>0.5</share></cold>", "operation-failed", "cold"),
        (
            "<class><name>pay</name><promised-time>9000000</promised-time></class>",
            "operation-failed",
            "class",
        ),
        ("<class><benefit>1</benefit></class>", "missing-element", "settings"),
        ("<none/>", "unknown-element", "settings"),
        ("<channel><channel/></channel>", "unknown-element", "channel"),
        ("<zone>n</zone><zone xmlns='urn:x'>q</zone>", "unknown-namespace", "settings"),
    ],
)
def test_a_wrong_edit_is_rejected_with_its_path_and_changes_nothing(house, settings, tag, path):
    one, before = house.manager(), None
    before = one.config("candidate")
    answer = one.edit("<drain><grace>7</grace></drain>" + settings)
    assert reply_tag(answer) == tag and path in answer and one.config("candidate") == before
    assert reply_tag(one.commit()) == "ok" and house.settings()["drain_grace"] == 3 * 10**9


@pytest.mark.parametrize(
    "settings, words",
    [
        ("<class><name>new</name></class>", "classes cannot change while the coordinator runs"),
        ("<operator><state><folder>x</folder></state></operator>", "state.folder cannot change"),
        (PACE.format("0.5"), "one drain takes"),
        (
            "<zone xmlns:nc='urn:ietf:params:xml:ns:netconf:base:1.0' nc:operation='delete'>n</zone>",
            "zone n have joined",
        ),
    ],
)
def test_a_commit_that_fails_the_impact_check_is_rejected_and_the_old_settings_run_on(house, settings, words):
    proxy, one, before = house.proxy(), house.manager(), house.settings()
    assert reply_tag(one.edit(settings)) == "ok"
    answer = one.commit()
    assert reply_tag(answer) == "operation-failed" and words in answer
    assert house.settings() == before and "<version>1</version>" in one.ask("<get/>") and alive(proxy)
    assert "<refused>1</refused>" in one.ask("<get/>")
    proxy.close()


def test_filters_select_by_subtree_and_by_xpath(house):
    one = house.manager()

    def state(inner):
        return one.ask(
            '<get><filter><coordinator xmlns="urn:granitespool:coordinator">'
            f"{inner}</coordinator></filter></get>"
        )

    assert state("<state><backend><name>s-2</name></backend></state>").count("<backend>") == 1
    answer = state("<state><backend><name>s-2</name><phase/></backend></state>")
    assert "<phase>" in answer and "<seen-from>" not in answer and "s-3" not in answer
    answer = state("<state><backend><name/></backend></state>")
    assert answer.count("<name>") == 6 and "<phase>" not in answer
    assert "<settings>" not in state("<state><fleet/></state>")
    assert "<strained>" in state("<state><fleet/></state>")
    assert "coordinator" not in state("<state><backend><name>none</name></backend></state>")
    assert state("<settings><zone/></settings><state><fleet/></state>").count("<zone>") == 2
    xpath = one.ask(
        "<get><filter type='xpath' xmlns:g='urn:granitespool:coordinator' "
        "select=\"/g:coordinator/g:state/g:backend[g:name='s-4']/g:phase\"/></get>"
    )
    assert xpath.count("<phase>") == 1 and "<name>" not in xpath and "<fleet>" not in xpath
    assert "<data/>" in one.ask("<get><filter/></get>")


def test_schema_defaults_copies_and_startup(tmp_path, folder):
    with ServiceThread(tmp_path, folder, state=True) as house:
        one = house.manager()
        schema = one.ask(
            '<get-schema xmlns="urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring">'
            "<identifier>granitespool"
            "</identifier></get-schema>"
        )
        assert "module granitespool {" in schema
        assert (
            reply_tag(
                one.ask(
                    '<get-schema xmlns="urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring">'
                    "<identifier>x"
                    "</identifier></get-schema>"
                )
            )
            == "invalid-value"
        )
        assert (
            reply_tag(
                one.edit(
                    "<operator><state xmlns:nc='urn:ietf:params:xml:ns:netconf:base:1.0'>"
                    "<most-mb nc:operation="
                    "'delete'/></state></operator>"
                )
            )
            == "ok"
        )
        all_of_it = (
            '<with-defaults xmlns="urn:ietf:params:xml:ns:yang:ietf-netconf-with-defaults">'
            "report-all"
            "</with-defaults>"
        )
        assert "most-mb" not in one.config("candidate") and "<most-mb>64<" in one.config(
            "candidate", all_of_it
        )
        assert reply_tag(one.edit("<class><name>late</name></class>", "startup")) == "ok"
        assert "<failing>false</failing>" in one.ask("<get/>")
        assert "late" in one.config("startup") and "late" not in one.config()
        assert (
            reply_tag(
                one.ask("<copy-config><target><startup/></target><source><running/></source></copy-config>")
            )
            == "ok"
        )
        assert "late" not in one.config("startup")
        whole = top("<zone>n</zone><zone>s</zone><class><name>pay</name></class>")
        assert (
            reply_tag(
                one.ask(
                    f"<copy-config><target><candidate/></target><source><config>{whole}"
                    "</config></source></copy-config>"
                )
            )
            == "ok"
        )
        assert "promised-time" not in one.config("candidate")
        assert reply_tag(one.ask("<validate><source><candidate/></source></validate>")) == "operation-failed"
        assert reply_tag(one.ask("<discard-changes/>")) == "ok" and one.config("candidate") == one.config()
        assert reply_tag(one.ask("<delete-config><target><startup/></target></delete-config>")) == "ok"


def test_users_read_and_write_what_they_are_authorized_for(house):
    reader, pacer = house.manager("reader"), house.manager("pacer")
    assert (
        "<backend>" in reader.ask("<get/>") and reply_tag(reader.edit(PACE.format("500"))) == "access-denied"
    )
    assert reply_tag(pacer.edit("<drain><grace>5</grace></drain>")) == "access-denied"
    assert reply_tag(pacer.edit(PACE.format("500"))) == "ok" and reply_tag(reader.commit()) == "access-denied"
    assert reply_tag(pacer.commit()) == "ok" and house.settings()["entries_per_s"] == 500
    assert reply_tag(reader.ask("<kill-session><session-id>2</session-id></kill-session>")) == "access-denied"


# Two at once, and sessions that end


def test_two_sessions_and_a_reload_cannot_overwrite_each_others_changes(house):
    one, two = house.manager(), house.manager()
    assert reply_tag(one.lock()) == "ok"
    held = two.lock()
    assert reply_tag(held) == "lock-denied" and "<session-id>1</session-id>" in held
    assert reply_tag(two.edit(PACE.format("400"))) == "in-use" and reply_tag(two.commit()) == "in-use"
    assert reply_tag(one.edit(PACE.format("500"))) == "ok"
    info = {**house.reading["family_info"], "egress_per_s": 700.0}
    assert (
        house.reload(family_info=info)["event"] == "reloaded" and house.settings()["entries_per_s"] == 700.0
    )
    answer = one.commit()
    assert reply_tag(answer) == "operation-failed" and "begun from version 1" in answer
    assert house.settings()["entries_per_s"] == 700.0
    assert (
        reply_tag(one.ask("<discard-changes/>")) == "ok" and reply_tag(one.edit(PACE.format("500"))) == "ok"
    )
    assert reply_tag(one.commit()) == "ok" and house.settings()["entries_per_s"] == 500
    assert house.reload()["event"] == "reloaded" and house.settings()["entries_per_s"] == 500
    assert reply_tag(one.lock("running")) == "ok"
    refused = house.reload(family_info={**info, "egress_per_s": 800.0})
    assert refused["event"] == "reload_rejected" and "locked by a manager" in refused["reason"]
    one.reset()
    house.logged("manager_disconnected")
    assert house.reload()["event"] == "reloaded" and house.settings()["entries_per_s"] == 800.0
    assert reply_tag(two.lock("running")) == "ok" and reply_tag(two.lock()) == "ok"


STEPS = ["hello", "lock", "edit", "half an rpc", "commit unread", "confirmed", "confirmed and edited"]


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("how", ["reset", "close"])
def test_a_session_lost_at_any_step_leaves_nothing_half_applied(house, step, how):
    watcher = house.manager()
    before, stores = (
        house.settings(),
        {name: watcher.config(name) for name in ("running", "candidate", "startup")},
    )
    one = house.manager(greet=step != "hello")
    if step == "hello":
        one.raw(frame(HELLO.format(1).encode(), False)[:-3])
    else:
        one.lock(), one.lock("running")
        if step != "lock":
            one.edit(PACE.format("500"))
        if step == "half an rpc":
            one.raw(frame(b'<rpc message-id="9" xmlns="' + BASE.encode() + b'"><commit/></rpc>', True)[:-6])
        elif step == "commit unread":
            one.send("<commit><confirmed/></commit>")
        elif step.startswith("confirmed"):
            assert reply_tag(one.commit("<confirmed/>")) == "ok" and house.settings()["entries_per_s"] == 500
            if step != "confirmed":
                one.edit(PACE.format("600"))
    getattr(one, how)()
    house.logged("manager_disconnected")
    assert {name: watcher.config(name) for name in stores} == stores and house.settings() == before
    assert reply_tag(watcher.lock()) == "ok" and reply_tag(watcher.lock("running")) == "ok"


def test_a_confirmed_commit_is_undone_in_time_and_with_its_id_confirmed_by_another(house):
    one, two = house.manager(), house.manager()
    one.edit(PACE.format("500"))
    assert reply_tag(one.commit("<confirmed/><confirm-timeout>1</confirm-timeout>")) == "ok"
    assert house.settings()["entries_per_s"] == 500
    house.logged("settings_changed", by="timeout")
    assert house.settings()["entries_per_s"] == 1000
    one.edit(PACE.format("600"))
    assert reply_tag(one.commit("<confirmed/><persist>q7</persist>")) == "ok"
    one.close()
    house.logged("manager_disconnected")
    assert house.settings()["entries_per_s"] == 600 and reply_tag(two.commit()) == "in-use"
    assert reply_tag(two.commit("<persist-id>q8</persist-id>")) == "invalid-value"
    assert reply_tag(two.commit("<persist-id>q7</persist-id>")) == "ok"
    assert house.settings()["entries_per_s"] == 600


def test_a_failure_half_way_restores_the_former_settings(house):
    one, before = house.manager(), house.settings()
    probes, calls = house.service.health_checks, []

    def fails(config):
        calls.append(config)
        if len(calls) == 1:
            raise RuntimeError("a part that cannot")

    real, probes.reconfigure = probes.reconfigure, fails
    one.edit(PACE.format("500"))
    answer = one.commit()
    assert reply_tag(answer) == "operation-failed" and "former" in answer and house.settings() == before
    assert len(calls) == 2 and told_settings(calls[1]["settings"]) == before
    probes.reconfigure = real
    assert reply_tag(one.commit()) == "ok" and house.settings()["entries_per_s"] == 500
    house.logged("task_failed")  # read by then: the log has a thread of its own
    house.lines[:] = [line for line in house.lines if line["event"] != "task_failed"]


def test_one_session_kills_another_and_subscribers_are_notified_of_changes(house):
    one, two = house.manager(), house.manager()
    sub = '<create-subscription xmlns="urn:ietf:params:xml:ns:netconf:notification:1.0"/>'
    assert reply_tag(two.ask(sub)) == "ok" and reply_tag(two.ask(sub)) == "in-use"
    one.edit(PACE.format("500"))
    one.commit()
    assert "<version>2</version>" in two.note("settings-changed")
    for _ in range(2):
        house.service.coordinator.report(
            house.service.loop.now,
            LoadReport(zone="n", backend="s-1", attempts=9, failures=9, mean=0, window=10**9, load={}),
        )
    assert "<backend>s-1</backend>" in two.note("backend-cut")
    one.edit(PACE.format("0.1"))
    proxy = house.proxy()
    assert reply_tag(one.commit()) == "operation-failed" and "one drain takes" in two.note("change-refused")
    one.ask("<discard-changes/>")
    house.service.coordinator.set_admission(0, 1, 0.5, 0)
    assert "<share>0.5</share>" in two.note("levels-changed") and alive(proxy)
    proxy.close()
    number = re.search(r"<session-id>(\d+)<", two.hello)[1]
    assert reply_tag(one.ask(f"<kill-session><session-id>{number}</session-id></kill-session>")) == "ok"
    with pytest.raises(ConnectionEndedError):
        two.receive()
    house.logged("manager_disconnected", reason="killed by operations")


# What outlasts a restart


def test_a_commit_is_answered_after_its_sync_and_outlasts_sigkill(tmp_path, folder):
    house = ServiceThread(tmp_path, folder, state=True)
    operator = tmp_path / "operator.ini"
    operator.write_text(
        f"[state]\nfolder = state\nevery_ms = 100\n[tls]\ncertificate = {folder}/server.pem\n"
        f"key = {folder}/server.key\nauthorities = {folder}/ca.pem\n"
        "[netconf]\nlisten = 127.0.0.1:"
        f"{house.where[1]}\n[user.operations]\ncertificate = cn:operations\nwrite = *\n"
    )
    for pace in ("1000.0", "500.0", "400.0"):
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "granitespool",
                "serve",
                "--config",
                str(house.file),
                "--operator",
                str(operator),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            for line in iter(process.stdout.readline, ""):
                if '"serving"' in line:
                    break
            one = NetconfClient(house.where, folder)
            assert f"<lines-per-second>{pace}<" in one.config()
            following = {"1000.0": "500.0", "500.0": "400.0"}.get(pace, "300.0")
            assert reply_tag(one.edit(PACE.format(following))) == "ok" and reply_tag(one.commit()) == "ok"
        finally:
            process.send_signal(signal.SIGKILL)  # at once after the answer
            process.communicate()
    house.write(family_info={**house.reading["family_info"], "egress_per_s": 900.0})
    with house:  # the file has changed since: it holds
        assert house.settings()["entries_per_s"] == 900.0
        house.logged("settings_discarded")


def test_what_waits_for_a_restart_goes_to_startup_and_takes_effect_after_it(tmp_path, folder):
    with ServiceThread(tmp_path, folder, state=True) as house:
        one = house.manager()
        assert reply_tag(one.edit("<class><name>late</name></class>")) == "ok"
        assert "put it into startup" in one.commit() and reply_tag(one.ask("<discard-changes/>")) == "ok"
        assert reply_tag(one.edit("<class><name>late</name></class>", "startup")) == "ok"
        assert "late" not in one.config() and len(house.settings()["classes"]) == 1
    with ServiceThread(tmp_path, folder, state=True) as house:
        assert [kind["name"] for kind in house.settings()["classes"]] == ["pay", "late"]
        assert "late" in house.manager().config()


def test_without_a_state_folder_startup_cannot_differ(house):
    one = house.manager()
    answer = one.edit("<class><name>late</name></class>", "startup")
    assert reply_tag(answer) == "operation-failed" and "without a state folder" in answer
    assert "late" not in one.config("startup")


def test_a_commit_is_rejected_where_the_disk_does_not_take_it(tmp_path, folder, monkeypatch):
    monkeypatch.setattr("granitespool.net.settings_host.SAVE_TIMEOUT", 300_000_000)
    with ServiceThread(tmp_path, folder, state=True) as house:
        one = house.manager()
        assert reply_tag(one.edit(PACE.format("500"))) == "ok"
        house.service.snapshotter.writer.folder.sync = lambda name: time.sleep(0.6)
        answer = one.commit()
        assert reply_tag(answer) == "resource-denied" and house.settings()["entries_per_s"] == 1000
        two = house.manager()  # two that wait for the disk are both answered
        one.send("<commit/>")
        assert reply_tag(two.edit("<class><name>late</name></class>", "startup")) == "resource-denied"
        assert reply_tag(one.receive()) == "resource-denied"
        writer = house.service.snapshotter.writer
    writer.join(10)  # this process held the folder for as long as its disk hung
    with ServiceThread(
        tmp_path, folder, state=True
    ) as house:  # what was refused does not come back with a restart
        assert house.settings()["entries_per_s"] == 1000 and len(house.settings()["classes"]) == 1


# Bad peers


def bad(where, folder, how):
    """A peer that is no manager; returns once it has done its worst."""
    if how in ("no certificate", "foreign", "stranger"):
        with pytest.raises((ConnectionEndedError, ssl.SSLError, ConnectionError)):
            NetconfClient(where, folder, {"no certificate": None}.get(how, how)).ask("<get/>")
        return
    if how in ("plain", "garbage", "tls 1.2"):
        sock = socket.create_connection(where, timeout=5)
        if how == "tls 1.2":
            context = ssl.create_default_context(cafile=f"{folder}/ca.pem")
            context.maximum_version = ssl.TLSVersion.TLSv1_2
            with pytest.raises((ssl.SSLError, ConnectionError)):
                context.wrap_socket(sock, server_hostname="127.0.0.1")
        else:
            sock.sendall(b"GET / HTTP/1.1\r\n\r\n" if how == "plain" else os.urandom(500))
            sock.settimeout(5)
            while sock.recv(1000):
                pass
        sock.close()
        return
    one = NetconfClient(where, folder, greet=how not in ("hello", "no hello"))
    with pytest.raises(ConnectionEndedError):
        if how == "hello":
            one.raw(frame(f'<hello xmlns="{BASE}"/>'.encode(), False))
        elif how == "no hello":
            one.raw(frame(f'<rpc message-id="1" xmlns="{BASE}"><get/></rpc>'.encode(), False))
        elif how == "endless":
            one.raw(b"\n#4000000\n")
        elif how == "laughs":
            one.raw(frame(b'<!DOCTYPE l [<!ENTITY a "aaaa"><!ENTITY b "&a;&a;&a;">]><rpc>&b;</rpc>', True))
        elif how == "deep":
            one.raw(frame(b"<a>" * 200 + b"</a>" * 200, True))
        elif how == "disorder":
            one.raw(b"\n##\n#5\nhello")
        elif how == "flood":
            one.raw(frame(f'<rpc message-id="1" xmlns="{BASE}"><get/></rpc>'.encode(), True) * 400)
        while True:
            one.receive()
    one.close()


@pytest.mark.parametrize(
    "how",
    [
        "no certificate",
        "foreign",
        "stranger",
        "plain",
        "garbage",
        "tls 1.2",
        "hello",
        "no hello",
        "endless",
        "laughs",
        "deep",
        "disorder",
        "flood",
    ],
)
def test_a_misbehaving_peer_is_disconnected_without_effect_on_others(house, folder, how, tmp_path):
    proxy, one = house.proxy(), house.manager()
    others = keys(tmp_path / "others") if how == "foreign" else folder
    if how == "foreign":  # trusted by nobody here, under a name that is
        import shutil  # noqa: PLC0415

        shutil.copy(f"{folder}/ca.pem", f"{others}/ca.pem")
        for ending in ("pem", "key"):
            shutil.copy(f"{others}/operations.{ending}", f"{others}/foreign.{ending}")
    bad(house.where, others, how)
    assert reply_tag(one.ask("<get/>")) == "ok" and alive(proxy)
    proxy.close()


def test_an_expired_certificate_is_rejected(house, folder, tmp_path):
    import datetime  # noqa: PLC0415

    from granitespool.cli import keys as made  # noqa: PLC0415

    with open(f"{folder}/ca.key", "rb") as file:
        authority_key = made.serialization.load_pem_private_key(file.read(), None)
    with open(f"{folder}/ca.pem", "rb") as file:
        authority = made.x509.load_pem_x509_certificate(file.read())
    key = made.new_key()

    past = datetime.datetime.now(datetime.UTC) - datetime.timedelta(days=9)
    subject = made.Subject("operations", made.ExtendedKeyUsageOID.CLIENT_AUTH)
    old = made.issue(subject, made.Validity(past, 5), key, made.Issuer(authority, authority_key))
    (tmp_path / "ca.pem").write_bytes(authority.public_bytes(made.serialization.Encoding.PEM))
    (tmp_path / "old.pem").write_bytes(old.public_bytes(made.serialization.Encoding.PEM))
    (tmp_path / "old.key").write_bytes(made.key_bytes(key))
    with pytest.raises((ConnectionEndedError, ssl.SSLError, ConnectionError)):
        NetconfClient(house.where, str(tmp_path), "old").ask("<get/>")
    house.logged("manager_rejected", reason="expired")


def test_hundreds_of_half_open_handshakes_block_nobody(tmp_path, folder):
    with ServiceThread(tmp_path, folder, sessions=6, limits={"sockets": 256, "memory_mb": 64}) as house:
        assert house.service.streams.admission.connections_limit == 256 - 16 - 32 - (6 + 3 + 1)
        proxy = house.proxy()
        held = [socket.create_connection(house.where, timeout=5) for _ in range(200)]
        one = house.manager()
        assert reply_tag(one.ask("<get/>")) == "ok" and alive(proxy)
        assert len(house.service.management.listeners[0].connections) <= 9
        for sock in held:
            sock.close()
        proxy.close()


def test_sessions_are_limited_and_an_idle_one_is_ended_unless_it_subscribed(tmp_path, folder):
    with ServiceThread(tmp_path, folder, sessions=2, idle_s=1.0) as house:
        one, two = house.manager(), house.manager()
        with pytest.raises((ConnectionEndedError, ConnectionError)):
            house.manager().ask("<get/>")
        sub = '<create-subscription xmlns="urn:ietf:params:xml:ns:netconf:notification:1.0"/>'
        assert reply_tag(two.ask(sub)) == "ok"
        house.logged("manager_disconnected", reason="idle")
        with pytest.raises(ConnectionEndedError):
            one.receive()
        time.sleep(0.5)
        assert reply_tag(two.ask("<get/>")) == "ok"


def test_a_client_that_stops_reading_costs_neither_turns_nor_memory(tmp_path, folder):
    known = [
        {
            "name": f"s-{k:04}",
            "address": "127.0.0.1:9",
            "zone": "n",
            "type": "m",
            "status": "ready",
            "weight": 1.0,
            "since_ms": 0,
        }
        for k in range(800)
    ]
    with ServiceThread(tmp_path, folder, known=known) as house:
        proxy, one, two = house.proxy(), house.manager(), house.manager()
        for _ in range(14):
            one.send("<get/>")
        time.sleep(1.0)
        connections = house.service.management.listeners[0].connections
        [stuck] = [each for each in connections if each.unsent > 200_000]
        assert stuck.unsent < 2_000_000 and len(stuck.protocol.pending) > 5
        begun = time.monotonic()
        assert reply_tag(two.ask("<get-config><source><running/></source></get-config>")) == "ok"
        assert alive(proxy)
        assert time.monotonic() - begun < 1.0
        assert all(one.receive().count("<backend>") == 800 for _ in range(14))
        proxy.close()


def test_keys_are_reloaded_without_ending_sessions_and_a_wrong_file_changes_nothing(tmp_path, folder):
    own = keys(tmp_path / "keys")
    with ServiceThread(tmp_path, own) as house:
        one = house.manager()
        fresh = keys(tmp_path / "fresh")
        for name in os.listdir(own):
            os.replace(f"{fresh}/{name}", f"{own}/{name}")
        assert house.reload()["event"] == "reloaded" and reply_tag(one.ask("<get/>")) == "ok"
        assert reply_tag(house.manager().ask("<get/>")) == "ok"
        with open(f"{own}/server.pem", "w") as file:
            file.write("nothing")
        assert "cannot be used" in house.reload()["reason"]
        assert reply_tag(one.ask("<get/>")) == "ok"


# A real client


def test_ncclient_reads_commits_is_rejected_and_finds_nothing_half_applied(house, folder):
    with ncclient_manager.connect_tls(
        host=house.where[0],
        port=house.where[1],
        keyfile=f"{folder}/operations.key",
        certfile=f"{folder}/operations.pem",
        ca_certs=f"{folder}/ca.pem",
        server_hostname="127.0.0.1",
        protocol=ssl.PROTOCOL_TLS_CLIENT,
    ) as client:

        def edit(settings):
            client.edit_config(target="candidate", config=f'<config xmlns="{BASE}">{top(settings)}</config>')

        assert client.get().xml.count("<backend>") == 6
        with client.locked("candidate"):
            edit("<class><name>pay</name><benefit>7.5</benefit></class>")
            client.validate("candidate")
            client.commit()
        assert house.settings()["classes"][0]["priority_weight"] == 7.5
        before = client.get_config("running").xml
        for settings, tag in (
            (PACE.format("0"), "invalid-value"),
            ("<class><name>x</name></class>", "operation-failed"),
        ):
            with pytest.raises(RPCError) as refused:
                edit("<drain><grace>9</grace></drain>" + settings)
                client.commit()
            assert refused.value.tag == tag
            client.discard_changes()
        after = client.get_config("running").xml
        before, after = (etree.tostring(etree.fromstring(text.encode())[0]) for text in (before, after))
        assert before == after
        client.commit(confirmed=True, timeout="60")
        assert "module granitespool" in client.get_schema("granitespool").data
    assert house.settings()["drain_grace"] == 3 * 10**9


def test_both_framings_encode_as_the_rfc_has_them():
    assert END_OF_MESSAGE == b"]]>]]>" and frame(b"x", True) == b"\n#1\nx\n##\n"
