"""NETCONF over TLS on loopback: regular sessions, lost connections, misbehaving peers, and ncclient."""

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
from support.records import configured_settings
from support.service_thread import ServiceThread, answers_ping, make_keys

from granitespool.netconf.errors import FramingError, MalformedMessageError
from granitespool.netconf.framing import END_OF_MESSAGE, MessageReader, frame
from granitespool.netconf.xmltree import parse_message
from granitespool.planner.events import LoadReport
from granitespool.simulation.netconf_client import (
    HELLO,
    ConnectionEndedError,
    NetconfClient,
    reply_tag,
    settings_element,
)

LINES_PER_SECOND = "<channel><lines-per-second>{}</lines-per-second></channel>"
BASE = "urn:ietf:params:xml:ns:netconf:base:1.0"


@pytest.fixture(scope="module")
def keys_folder(tmp_path_factory):
    return make_keys(tmp_path_factory.mktemp("keys"))


@pytest.fixture
def server(tmp_path, keys_folder):
    with ServiceThread(tmp_path, keys_folder) as server:
        yield server


# Framing and XML


@pytest.mark.parametrize("size", [1, 2, 3, 7, 100_000])
@pytest.mark.parametrize("chunked", [False, True])
def test_messages_are_complete_whatever_the_sizes_of_the_received_parts(chunked, size):
    reader, messages = MessageReader(1000), []
    reader.chunked = chunked
    data = b"".join(frame(message, chunked) for message in (b"<a/>", b"<b>]] ></b>", b"<c/>"))
    for at in range(0, len(data), size):
        reader.feed(data[at : at + size])
        messages += reader.messages()
    assert messages == [b"<a/>", b"<b>]] ></b>", b"<c/>"]


def test_a_message_may_come_in_many_chunks():
    reader = MessageReader(1000)
    reader.chunked = True
    reader.feed(b"\n#4\n<a/>\n#3\n<b/\n#1\n>\n##\n\n#4\n<c/>\n##\n")
    assert list(reader.messages()) == [b"<a/><b/>", b"<c/>"]


@pytest.mark.parametrize(
    "chunked, data, expected_text",
    [
        (False, b"x" * 1100, "exceeds the limit of 1000 bytes"),
        (True, b"hello", "does not begin"),
        (True, b"\n#x\n", "the length"),
        (True, b"\n#0\n", "the length"),
        (True, b"\n#9999999999\n", "the length"),
        (True, b"\n#1001\n", "exceeds the limit of 1000 bytes"),
        (True, b"\n#600\n" + b"x" * 600 + b"\n#600\n", "exceeds the limit of 1000 bytes"),
        (True, b"\n#11111111111111", "no end"),
    ],
)
def test_invalid_framing_and_too_long_messages_are_rejected(chunked, data, expected_text):
    reader = MessageReader(1000)
    reader.chunked = chunked
    reader.feed(data)
    with pytest.raises(FramingError, match=expected_text):
        list(reader.messages())


@pytest.mark.parametrize(
    "data, expected_text",
    [
        (b"<a", "not XML"),
        (b"", "not XML"),
        (b'<!DOCTYPE a [<!ENTITY x "y">]><a>&x;</a>', "DTD"),
        (b'<!DOCTYPE a SYSTEM "file:///etc/hostname"><a/>', "DTD"),
        (b"<a>" * 70 + b"</a>" * 70, "exceeds the limit of 64 levels"),
        (b"<a>" + b"<b/>" * 50_001 + b"</a>", "elements"),
        (b"<a>&lol;</a>", "not XML"),
        (b"\xff\xfe", "not XML"),
        ('<!DOCTYPE a [<!ENTITY x "y">]><a>&x;</a>'.encode("utf-16"), "DTD"),
    ],
)
def test_xml_over_the_limits_is_rejected(data, expected_text):
    with pytest.raises(MalformedMessageError, match=expected_text):
        parse_message(data)


# Regular sessions


@pytest.mark.parametrize("minor", [0, 1])
def test_both_framings_read_state_and_commit_a_change_that_takes_effect(server, minor):
    client = server.manager(minor=minor)
    assert "base:1.1" in client.hello and "granitespool&amp;revision=2026-12-01" in client.hello
    state = client.rpc("<get/>")
    assert state.count("<backend>") == 6 and "<phase>ready</phase>" in state
    assert "<weight>1.0</weight>" in state
    assert (
        reply_tag(client.edit(LINES_PER_SECOND.format("500.0"))) == "ok"
        and server.settings()["entries_per_s"] == 1000.0
    )
    assert "<lines-per-second>500.0<" in client.config("candidate")
    assert "<lines-per-second>1000.0<" in client.config()
    assert reply_tag(client.commit()) == "ok" and server.settings()["entries_per_s"] == 500
    assert "<version>2</version>" in client.rpc("<get/>")
    ages = []
    for index in (1, 1, 2):
        server.service.discovery.index = index  # as an update of the endpoint list sets it, in a turn
        server.service.loop.wake()
        time.sleep(0.25)
        ages.append(int(re.search(r"<age>(\d+)<", client.rpc("<get/>"))[1]))
    assert 200_000 < ages[0] < ages[1] - 200_000 and ages[2] < ages[1]
    server.wait_for_log("settings_changed", by="operations", version=2)
    connections_limit = server.service.streams.admission.connections_limit
    assert (
        reply_tag(client.edit("<limits><descriptors>512</descriptors></limits>"))
        == reply_tag(client.commit())
        == "ok"
    )
    assert server.service.streams.admission.connections_limit == connections_limit - 512
    assert server.service.health_checks.limit == 64
    assert reply_tag(client.edit("<limits><descriptors>4096</descriptors></limits>")) == "ok"
    assert "over the 1024" in client.commit() and reply_tag(client.rpc("<discard-changes/>")) == "ok"
    assert reply_tag(client.rpc("<close-session/>")) == "ok"
    with pytest.raises(ConnectionEndedError):
        client.receive()


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
def test_a_rejected_operation_has_the_error_tag_of_the_rfc_and_the_session_continues(server, body, tag):
    client = server.manager()
    reply = client.rpc(body)
    assert reply_tag(reply) == tag and "<error-message" in reply and reply_tag(client.rpc("<get/>")) == "ok"
    assert reply_tag(client.rpc("<get/>", "")) == "missing-attribute"


@pytest.mark.parametrize(
    "settings, tag, path",
    [
        (LINES_PER_SECOND.format("0"), "invalid-value", "/gs:channel/gs:lines-per-second"),
        (LINES_PER_SECOND.format("many"), "invalid-value", "lines-per-second"),
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
def test_an_invalid_edit_is_rejected_with_its_path_and_changes_nothing(server, settings, tag, path):
    client, before = server.manager(), None
    before = client.config("candidate")
    reply = client.edit("<drain><grace>7</grace></drain>" + settings)
    assert reply_tag(reply) == tag and path in reply and client.config("candidate") == before
    assert reply_tag(client.commit()) == "ok" and server.settings()["drain_grace"] == 3 * 10**9


@pytest.mark.parametrize(
    "settings, expected_text",
    [
        ("<class><name>new</name></class>", "classes cannot change while the coordinator runs"),
        ("<operator><state><folder>x</folder></state></operator>", "state.folder cannot change"),
        (LINES_PER_SECOND.format("0.5"), "one drain takes"),
        (
            "<zone xmlns:nc='urn:ietf:params:xml:ns:netconf:base:1.0' nc:operation='delete'>n</zone>",
            "zone n have joined",
        ),
    ],
)
def test_a_commit_that_fails_the_impact_check_is_rejected_and_the_old_settings_stay(
    server, settings, expected_text
):
    proxy, client, before = server.proxy(), server.manager(), server.settings()
    assert reply_tag(client.edit(settings)) == "ok"
    reply = client.commit()
    assert reply_tag(reply) == "operation-failed" and expected_text in reply
    assert (
        server.settings() == before and "<version>1</version>" in client.rpc("<get/>") and answers_ping(proxy)
    )
    assert "<refused>1</refused>" in client.rpc("<get/>")
    proxy.close()


def test_filters_select_by_subtree_and_by_xpath(server):
    client = server.manager()

    def state(inner):
        return client.rpc(
            '<get><filter><coordinator xmlns="urn:granitespool:coordinator">'
            f"{inner}</coordinator></filter></get>"
        )

    assert state("<state><backend><name>s-2</name></backend></state>").count("<backend>") == 1
    reply = state("<state><backend><name>s-2</name><phase/></backend></state>")
    assert "<phase>" in reply and "<seen-from>" not in reply and "s-3" not in reply
    reply = state("<state><backend><name/></backend></state>")
    assert reply.count("<name>") == 6 and "<phase>" not in reply
    assert "<settings>" not in state("<state><fleet/></state>")
    assert "<strained>" in state("<state><fleet/></state>")
    assert "coordinator" not in state("<state><backend><name>none</name></backend></state>")
    assert state("<settings><zone/></settings><state><fleet/></state>").count("<zone>") == 2
    xpath = client.rpc(
        "<get><filter type='xpath' xmlns:g='urn:granitespool:coordinator' "
        "select=\"/g:coordinator/g:state/g:backend[g:name='s-4']/g:phase\"/></get>"
    )
    assert xpath.count("<phase>") == 1 and "<name>" not in xpath and "<fleet>" not in xpath
    assert "<data/>" in client.rpc("<get><filter/></get>")


def test_schema_defaults_copies_and_startup(tmp_path, keys_folder):
    with ServiceThread(tmp_path, keys_folder, state=True) as server:
        client = server.manager()
        schema = client.rpc(
            '<get-schema xmlns="urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring">'
            "<identifier>granitespool"
            "</identifier></get-schema>"
        )
        assert "module granitespool {" in schema
        assert (
            reply_tag(
                client.rpc(
                    '<get-schema xmlns="urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring">'
                    "<identifier>x"
                    "</identifier></get-schema>"
                )
            )
            == "invalid-value"
        )
        assert (
            reply_tag(
                client.edit(
                    "<operator><state xmlns:nc='urn:ietf:params:xml:ns:netconf:base:1.0'>"
                    "<most-mb nc:operation="
                    "'delete'/></state></operator>"
                )
            )
            == "ok"
        )
        report_all = (
            '<with-defaults xmlns="urn:ietf:params:xml:ns:yang:ietf-netconf-with-defaults">'
            "report-all"
            "</with-defaults>"
        )
        assert "most-mb" not in client.config("candidate") and "<most-mb>64<" in client.config(
            "candidate", report_all
        )
        assert reply_tag(client.edit("<class><name>late</name></class>", "startup")) == "ok"
        assert "<failing>false</failing>" in client.rpc("<get/>")
        assert "late" in client.config("startup") and "late" not in client.config()
        assert (
            reply_tag(
                client.rpc(
                    "<copy-config><target><startup/></target><source><running/></source></copy-config>"
                )
            )
            == "ok"
        )
        assert "late" not in client.config("startup")
        whole = settings_element("<zone>n</zone><zone>s</zone><class><name>pay</name></class>")
        assert (
            reply_tag(
                client.rpc(
                    f"<copy-config><target><candidate/></target><source><config>{whole}"
                    "</config></source></copy-config>"
                )
            )
            == "ok"
        )
        assert "promised-time" not in client.config("candidate")
        assert (
            reply_tag(client.rpc("<validate><source><candidate/></source></validate>")) == "operation-failed"
        )
        assert (
            reply_tag(client.rpc("<discard-changes/>")) == "ok"
            and client.config("candidate") == client.config()
        )
        assert reply_tag(client.rpc("<delete-config><target><startup/></target></delete-config>")) == "ok"


def test_users_read_and_write_what_they_are_authorized_for(server):
    reader, pacer = server.manager("reader"), server.manager("pacer")
    assert (
        "<backend>" in reader.rpc("<get/>")
        and reply_tag(reader.edit(LINES_PER_SECOND.format("500"))) == "access-denied"
    )
    assert reply_tag(pacer.edit("<drain><grace>5</grace></drain>")) == "access-denied"
    assert (
        reply_tag(pacer.edit(LINES_PER_SECOND.format("500"))) == "ok"
        and reply_tag(reader.commit()) == "access-denied"
    )
    assert reply_tag(pacer.commit()) == "ok" and server.settings()["entries_per_s"] == 500
    assert reply_tag(reader.rpc("<kill-session><session-id>2</session-id></kill-session>")) == "access-denied"


# Concurrent sessions, and sessions that end


def test_two_sessions_and_a_reload_cannot_overwrite_each_others_changes(server):
    client, other_client = server.manager(), server.manager()
    assert reply_tag(client.lock()) == "ok"
    lock_reply = other_client.lock()
    assert reply_tag(lock_reply) == "lock-denied" and "<session-id>1</session-id>" in lock_reply
    assert (
        reply_tag(other_client.edit(LINES_PER_SECOND.format("400"))) == "in-use"
        and reply_tag(other_client.commit()) == "in-use"
    )
    assert reply_tag(client.edit(LINES_PER_SECOND.format("500"))) == "ok"
    info = {**server.file_settings["family_info"], "egress_per_s": 700.0}
    assert (
        server.reload(family_info=info)["event"] == "reloaded" and server.settings()["entries_per_s"] == 700.0
    )
    reply = client.commit()
    assert reply_tag(reply) == "operation-failed" and "candidate is based on version 1 of running" in reply
    assert server.settings()["entries_per_s"] == 700.0
    assert (
        reply_tag(client.rpc("<discard-changes/>")) == "ok"
        and reply_tag(client.edit(LINES_PER_SECOND.format("500"))) == "ok"
    )
    assert reply_tag(client.commit()) == "ok" and server.settings()["entries_per_s"] == 500
    assert server.reload()["event"] == "reloaded" and server.settings()["entries_per_s"] == 500
    assert reply_tag(client.lock("running")) == "ok"
    rejected = server.reload(family_info={**info, "egress_per_s": 800.0})
    assert rejected["event"] == "reload_rejected" and "locked by a manager" in rejected["reason"]
    client.reset()
    server.wait_for_log("manager_disconnected")
    assert server.reload()["event"] == "reloaded" and server.settings()["entries_per_s"] == 800.0
    assert reply_tag(other_client.lock("running")) == "ok" and reply_tag(other_client.lock()) == "ok"


STEPS = ["hello", "lock", "edit", "half an rpc", "commit unread", "confirmed", "confirmed and edited"]


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("disconnect", ["reset", "close"])
def test_a_session_lost_at_any_step_leaves_nothing_half_applied(server, step, disconnect):
    watcher = server.manager()
    before, stores = (
        server.settings(),
        {name: watcher.config(name) for name in ("running", "candidate", "startup")},
    )
    client = server.manager(send_hello=step != "hello")
    if step == "hello":
        client.send_raw(frame(HELLO.format(1).encode(), False)[:-3])
    else:
        client.lock(), client.lock("running")
        if step != "lock":
            client.edit(LINES_PER_SECOND.format("500"))
        if step == "half an rpc":
            client.send_raw(
                frame(b'<rpc message-id="9" xmlns="' + BASE.encode() + b'"><commit/></rpc>', True)[:-6]
            )
        elif step == "commit unread":
            client.send("<commit><confirmed/></commit>")
        elif step.startswith("confirmed"):
            assert (
                reply_tag(client.commit("<confirmed/>")) == "ok" and server.settings()["entries_per_s"] == 500
            )
            if step != "confirmed":
                client.edit(LINES_PER_SECOND.format("600"))
    getattr(client, disconnect)()
    server.wait_for_log("manager_disconnected")
    assert {name: watcher.config(name) for name in stores} == stores and server.settings() == before
    assert reply_tag(watcher.lock()) == "ok" and reply_tag(watcher.lock("running")) == "ok"


# Guards against requests that are performed after their session has ended, and against locks that outlive it
@pytest.mark.parametrize("disconnect", ["reset", "close"])
def test_requests_sent_at_once_before_a_close_are_done_in_order_and_none_after_the_end(server, disconnect):
    watcher = server.manager()
    before = server.settings()["entries_per_s"]
    client = server.manager()
    assert reply_tag(client.lock()) == "ok"
    rates = [500.0 + number for number in range(7)]
    for rate in rates:
        config = f"<config>{settings_element(LINES_PER_SECOND.format(int(rate)))}</config>"
        client.send(f"<edit-config><target><candidate/></target>{config}</edit-config>")
        client.send("<commit/>")
    getattr(client, disconnect)()
    server.wait_for_log("manager_disconnected")
    at_the_end = server.settings()["entries_per_s"]
    assert at_the_end in [before, *rates]
    assert reply_tag(watcher.lock()) == "ok"
    assert watcher.config("candidate") == watcher.config("running")
    assert reply_tag(watcher.edit(LINES_PER_SECOND.format("700"))) == "ok"
    assert server.settings()["entries_per_s"] == at_the_end
    assert reply_tag(watcher.commit()) == "ok"
    assert server.settings()["entries_per_s"] == 700.0


def test_a_confirmed_commit_is_undone_at_its_timeout_unless_another_session_confirms_its_persist_id(server):
    client, other_client = server.manager(), server.manager()
    client.edit(LINES_PER_SECOND.format("500"))
    assert reply_tag(client.commit("<confirmed/><confirm-timeout>1</confirm-timeout>")) == "ok"
    assert server.settings()["entries_per_s"] == 500
    server.wait_for_log("settings_changed", by="timeout")
    assert server.settings()["entries_per_s"] == 1000
    client.edit(LINES_PER_SECOND.format("600"))
    assert reply_tag(client.commit("<confirmed/><persist>q7</persist>")) == "ok"
    client.close()
    server.wait_for_log("manager_disconnected")
    assert server.settings()["entries_per_s"] == 600 and reply_tag(other_client.commit()) == "in-use"
    assert reply_tag(other_client.commit("<persist-id>q8</persist-id>")) == "invalid-value"
    assert reply_tag(other_client.commit("<persist-id>q7</persist-id>")) == "ok"
    assert server.settings()["entries_per_s"] == 600


def test_a_failure_half_way_through_applying_restores_the_previous_settings(server):
    client, before = server.manager(), server.settings()
    probes, calls = server.service.health_checks, []

    def fails(config):
        calls.append(config)
        if len(calls) == 1:
            raise RuntimeError("the settings cannot be applied")

    real, probes.reconfigure = probes.reconfigure, fails
    client.edit(LINES_PER_SECOND.format("500"))
    reply = client.commit()
    assert reply_tag(reply) == "operation-failed" and "former" in reply and server.settings() == before
    assert len(calls) == 2 and configured_settings(calls[1]["settings"]) == before
    probes.reconfigure = real
    assert reply_tag(client.commit()) == "ok" and server.settings()["entries_per_s"] == 500
    server.wait_for_log("task_failed")  # another thread reads the log
    server.lines[:] = [line for line in server.lines if line["event"] != "task_failed"]


def test_one_session_kills_another_and_subscribers_are_notified_of_changes(server):
    client, other_client = server.manager(), server.manager()
    create_subscription = '<create-subscription xmlns="urn:ietf:params:xml:ns:netconf:notification:1.0"/>'
    assert (
        reply_tag(other_client.rpc(create_subscription)) == "ok"
        and reply_tag(other_client.rpc(create_subscription)) == "in-use"
    )
    client.edit(LINES_PER_SECOND.format("500"))
    client.commit()
    assert "<version>2</version>" in other_client.receive_notification("settings-changed")
    for _ in range(2):
        server.service.coordinator.report(
            server.service.loop.now,
            LoadReport(zone="n", backend="s-1", attempts=9, failures=9, mean=0, window=10**9, load={}),
        )
    assert "<backend>s-1</backend>" in other_client.receive_notification("backend-cut")
    client.edit(LINES_PER_SECOND.format("0.1"))
    proxy = server.proxy()
    assert reply_tag(client.commit()) == "operation-failed"
    assert "one drain takes" in other_client.receive_notification("change-refused")
    client.rpc("<discard-changes/>")
    server.service.coordinator.set_admission(0, 1, 0.5, 0)
    assert "<share>0.5</share>" in other_client.receive_notification("levels-changed") and answers_ping(proxy)
    proxy.close()
    number = re.search(r"<session-id>(\d+)<", other_client.hello)[1]
    assert reply_tag(client.rpc(f"<kill-session><session-id>{number}</session-id></kill-session>")) == "ok"
    with pytest.raises(ConnectionEndedError):
        other_client.receive()
    server.wait_for_log("manager_disconnected", reason="killed by operations")


# Persistence across restarts


def test_a_commit_is_answered_after_its_sync_and_survives_sigkill(tmp_path, keys_folder):
    server = ServiceThread(tmp_path, keys_folder, state=True)
    operator = tmp_path / "operator.ini"
    operator.write_text(
        f"[state]\nfolder = state\nevery_ms = 100\n[tls]\ncertificate = {keys_folder}/server.pem\n"
        f"key = {keys_folder}/server.key\nauthorities = {keys_folder}/ca.pem\n"
        "[netconf]\nlisten = 127.0.0.1:"
        f"{server.netconf_address[1]}\n[user.operations]\ncertificate = cn:operations\nwrite = *\n"
    )
    for lines_per_second in ("1000.0", "500.0", "400.0"):
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "granitespool",
                "serve",
                "--config",
                str(server.file),
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
            client = NetconfClient(server.netconf_address, keys_folder)
            assert f"<lines-per-second>{lines_per_second}<" in client.config()
            next_value = {"1000.0": "500.0", "500.0": "400.0"}.get(lines_per_second, "300.0")
            assert (
                reply_tag(client.edit(LINES_PER_SECOND.format(next_value))) == "ok"
                and reply_tag(client.commit()) == "ok"
            )
        finally:
            process.send_signal(signal.SIGKILL)  # immediately after the reply
            process.communicate()
    server.write(family_info={**server.file_settings["family_info"], "egress_per_s": 900.0})
    with server:  # the file has changed since the commit, so its settings apply
        assert server.settings()["entries_per_s"] == 900.0
        server.wait_for_log("settings_discarded")


def test_a_setting_that_needs_a_restart_is_put_into_startup_and_takes_effect_after_the_restart(
    tmp_path, keys_folder
):
    with ServiceThread(tmp_path, keys_folder, state=True) as server:
        client = server.manager()
        assert reply_tag(client.edit("<class><name>late</name></class>")) == "ok"
        assert (
            "put it into startup" in client.commit() and reply_tag(client.rpc("<discard-changes/>")) == "ok"
        )
        assert reply_tag(client.edit("<class><name>late</name></class>", "startup")) == "ok"
        assert "late" not in client.config() and len(server.settings()["classes"]) == 1
    with ServiceThread(tmp_path, keys_folder, state=True) as server:
        assert [kind["name"] for kind in server.settings()["classes"]] == ["pay", "late"]
        assert "late" in server.manager().config()


def test_without_a_state_folder_startup_cannot_differ_from_running(server):
    client = server.manager()
    reply = client.edit("<class><name>late</name></class>", "startup")
    assert reply_tag(reply) == "operation-failed" and "without a state folder" in reply
    assert "late" not in client.config("startup")


def test_a_commit_is_rejected_if_the_disk_does_not_save_it_in_time(tmp_path, keys_folder, monkeypatch):
    monkeypatch.setattr("granitespool.net.settings_host.SAVE_TIMEOUT", 300_000_000)
    with ServiceThread(tmp_path, keys_folder, state=True) as server:
        client = server.manager()
        assert reply_tag(client.edit(LINES_PER_SECOND.format("500"))) == "ok"
        server.service.snapshotter.writer.folder.sync = lambda name: time.sleep(0.6)
        reply = client.commit()
        assert reply_tag(reply) == "resource-denied" and server.settings()["entries_per_s"] == 1000
        other_client = server.manager()  # two requests that wait for the disk are both answered
        client.send("<commit/>")
        assert (
            reply_tag(other_client.edit("<class><name>late</name></class>", "startup")) == "resource-denied"
        )
        assert reply_tag(client.receive()) == "resource-denied"
        writer = server.service.snapshotter.writer
    writer.join(10)  # the writer uses the folder until the delayed sync has ended
    # The rejected settings do not return with a restart.
    with ServiceThread(tmp_path, keys_folder, state=True) as server:
        assert server.settings()["entries_per_s"] == 1000 and len(server.settings()["classes"]) == 1


# Misbehaving peers


def connect_misbehaving_peer(where, keys_folder, behaviour):
    """Connect as a misbehaving peer, and return once the server has ended the connection."""
    if behaviour in ("no certificate", "foreign", "stranger"):
        with pytest.raises((ConnectionEndedError, ssl.SSLError, ConnectionError)):
            NetconfClient(where, keys_folder, {"no certificate": None}.get(behaviour, behaviour)).rpc(
                "<get/>"
            )
        return
    if behaviour in ("plain", "garbage", "tls 1.2"):
        sock = socket.create_connection(where, timeout=5)
        if behaviour == "tls 1.2":
            context = ssl.create_default_context(cafile=f"{keys_folder}/ca.pem")
            context.maximum_version = ssl.TLSVersion.TLSv1_2
            with pytest.raises((ssl.SSLError, ConnectionError)):
                context.wrap_socket(sock, server_hostname="127.0.0.1")
        else:
            sock.sendall(b"GET / HTTP/1.1\r\n\r\n" if behaviour == "plain" else os.urandom(500))
            sock.settimeout(5)
            while sock.recv(1000):
                pass
        sock.close()
        return
    client = NetconfClient(
        where, keys_folder, send_hello=behaviour not in ("hello without capabilities", "rpc before hello")
    )
    with pytest.raises(ConnectionEndedError):
        if behaviour == "hello without capabilities":
            client.send_raw(frame(f'<hello xmlns="{BASE}"/>'.encode(), False))
        elif behaviour == "rpc before hello":
            client.send_raw(frame(f'<rpc message-id="1" xmlns="{BASE}"><get/></rpc>'.encode(), False))
        elif behaviour == "oversized chunk":
            client.send_raw(b"\n#4000000\n")
        elif behaviour == "entity expansion":
            client.send_raw(
                frame(b'<!DOCTYPE l [<!ENTITY a "aaaa"><!ENTITY b "&a;&a;&a;">]><rpc>&b;</rpc>', True)
            )
        elif behaviour == "deep nesting":
            client.send_raw(frame(b"<a>" * 200 + b"</a>" * 200, True))
        elif behaviour == "invalid framing":
            client.send_raw(b"\n##\n#5\nhello")
        elif behaviour == "flood":
            client.send_raw(frame(f'<rpc message-id="1" xmlns="{BASE}"><get/></rpc>'.encode(), True) * 400)
        while True:
            client.receive()
    client.close()


@pytest.mark.parametrize(
    "behaviour",
    [
        "no certificate",
        "foreign",
        "stranger",
        "plain",
        "garbage",
        "tls 1.2",
        "hello without capabilities",
        "rpc before hello",
        "oversized chunk",
        "entity expansion",
        "deep nesting",
        "invalid framing",
        "flood",
    ],
)
def test_a_misbehaving_peer_is_disconnected_without_effect_on_others(
    server, keys_folder, behaviour, tmp_path
):
    proxy, client = server.proxy(), server.manager()
    others = make_keys(tmp_path / "others") if behaviour == "foreign" else keys_folder
    if behaviour == "foreign":  # a certificate of an unknown authority with the name of an existing user
        import shutil  # noqa: PLC0415

        shutil.copy(f"{keys_folder}/ca.pem", f"{others}/ca.pem")
        for ending in ("pem", "key"):
            shutil.copy(f"{others}/operations.{ending}", f"{others}/foreign.{ending}")
    connect_misbehaving_peer(server.netconf_address, others, behaviour)
    assert reply_tag(client.rpc("<get/>")) == "ok" and answers_ping(proxy)
    proxy.close()


def test_an_expired_certificate_is_rejected(server, keys_folder, tmp_path):
    import datetime  # noqa: PLC0415

    from granitespool.cli import keys as keys_module  # noqa: PLC0415

    with open(f"{keys_folder}/ca.key", "rb") as file:
        authority_key = keys_module.serialization.load_pem_private_key(file.read(), None)
    with open(f"{keys_folder}/ca.pem", "rb") as file:
        authority = keys_module.x509.load_pem_x509_certificate(file.read())
    key = keys_module.new_key()

    past = datetime.datetime.now(datetime.UTC) - datetime.timedelta(days=9)
    subject = keys_module.Subject("operations", keys_module.ExtendedKeyUsageOID.CLIENT_AUTH)
    old = keys_module.issue(
        subject, keys_module.Validity(past, 5), key, keys_module.Issuer(authority, authority_key)
    )
    (tmp_path / "ca.pem").write_bytes(authority.public_bytes(keys_module.serialization.Encoding.PEM))
    (tmp_path / "old.pem").write_bytes(old.public_bytes(keys_module.serialization.Encoding.PEM))
    (tmp_path / "old.key").write_bytes(keys_module.key_bytes(key))
    with pytest.raises((ConnectionEndedError, ssl.SSLError, ConnectionError)):
        NetconfClient(server.netconf_address, str(tmp_path), "old").rpc("<get/>")
    server.wait_for_log("manager_rejected", reason="expired")


def test_hundreds_of_half_open_handshakes_block_neither_proxies_nor_managers(tmp_path, keys_folder):
    with ServiceThread(tmp_path, keys_folder, sessions=6, limits={"sockets": 256, "memory_mb": 64}) as server:
        assert server.service.streams.admission.connections_limit == 256 - 16 - 32 - (6 + 3 + 1)
        proxy = server.proxy()
        sockets = [socket.create_connection(server.netconf_address, timeout=5) for _ in range(200)]
        client = server.manager()
        assert reply_tag(client.rpc("<get/>")) == "ok" and answers_ping(proxy)
        assert len(server.service.management.listeners[0].connections) <= 9
        for sock in sockets:
            sock.close()
        proxy.close()


def test_sessions_are_limited_and_an_idle_session_is_ended_unless_it_has_a_subscription(
    tmp_path, keys_folder
):
    with ServiceThread(tmp_path, keys_folder, sessions=2, idle_s=1.0) as server:
        client, other_client = server.manager(), server.manager()
        with pytest.raises((ConnectionEndedError, ConnectionError)):
            server.manager().rpc("<get/>")
        create_subscription = '<create-subscription xmlns="urn:ietf:params:xml:ns:netconf:notification:1.0"/>'
        assert reply_tag(other_client.rpc(create_subscription)) == "ok"
        server.wait_for_log("manager_disconnected", reason="idle")
        with pytest.raises(ConnectionEndedError):
            client.receive()
        time.sleep(0.5)
        assert reply_tag(other_client.rpc("<get/>")) == "ok"


def test_a_client_that_stops_reading_takes_bounded_memory_and_delays_no_turn(tmp_path, keys_folder):
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
    with ServiceThread(tmp_path, keys_folder, endpoints=known) as server:
        proxy, client, other_client = server.proxy(), server.manager(), server.manager()
        for _ in range(14):
            client.send("<get/>")
        time.sleep(1.0)
        connections = server.service.management.listeners[0].connections
        [stuck] = [connection for connection in connections if connection.unsent > 200_000]
        assert stuck.unsent < 2_000_000 and len(stuck.protocol.pending) > 5
        begun = time.monotonic()
        assert reply_tag(other_client.rpc("<get-config><source><running/></source></get-config>")) == "ok"
        assert answers_ping(proxy)
        assert time.monotonic() - begun < 1.0
        assert all(client.receive().count("<backend>") == 800 for _ in range(14))
        proxy.close()


def test_keys_are_reloaded_without_ending_sessions_and_an_invalid_file_changes_nothing(tmp_path, keys_folder):
    own = make_keys(tmp_path / "keys")
    with ServiceThread(tmp_path, own) as server:
        client = server.manager()
        fresh = make_keys(tmp_path / "fresh")
        for name in os.listdir(own):
            os.replace(f"{fresh}/{name}", f"{own}/{name}")
        assert server.reload()["event"] == "reloaded" and reply_tag(client.rpc("<get/>")) == "ok"
        assert reply_tag(server.manager().rpc("<get/>")) == "ok"
        with open(f"{own}/server.pem", "w") as file:
            file.write("nothing")
        assert "cannot be used" in server.reload()["reason"]
        assert reply_tag(client.rpc("<get/>")) == "ok"


# The client library ncclient


def test_ncclient_reads_commits_is_rejected_and_finds_nothing_half_applied(server, keys_folder):
    with ncclient_manager.connect_tls(
        host=server.netconf_address[0],
        port=server.netconf_address[1],
        keyfile=f"{keys_folder}/operations.key",
        certfile=f"{keys_folder}/operations.pem",
        ca_certs=f"{keys_folder}/ca.pem",
        server_hostname="127.0.0.1",
        protocol=ssl.PROTOCOL_TLS_CLIENT,
    ) as client:

        def edit(settings):
            client.edit_config(
                target="candidate", config=f'<config xmlns="{BASE}">{settings_element(settings)}</config>'
            )

        assert client.get().xml.count("<backend>") == 6
        with client.locked("candidate"):
            edit("<class><name>pay</name><benefit>7.5</benefit></class>")
            client.validate("candidate")
            client.commit()
        assert server.settings()["classes"][0]["priority_weight"] == 7.5
        before = client.get_config("running").xml
        for settings, tag in (
            (LINES_PER_SECOND.format("0"), "invalid-value"),
            ("<class><name>x</name></class>", "operation-failed"),
        ):
            with pytest.raises(RPCError) as rejected:
                edit("<drain><grace>9</grace></drain>" + settings)
                client.commit()
            assert rejected.value.tag == tag
            client.discard_changes()
        after = client.get_config("running").xml
        before, after = (etree.tostring(etree.fromstring(text.encode())[0]) for text in (before, after))
        assert before == after
        client.commit(confirmed=True, timeout="60")
        assert "module granitespool" in client.get_schema("granitespool").data
    assert server.settings()["drain_grace"] == 3 * 10**9


def test_both_framings_encode_by_the_rfc():
    assert END_OF_MESSAGE == b"]]>]]>" and frame(b"x", True) == b"\n#1\nx\n##\n"
