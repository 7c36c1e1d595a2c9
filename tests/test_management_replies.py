"""Replies of NETCONF and gNMI about a synthetic fleet, compared with recordings byte for byte."""

import hashlib

import pytest
from google.protobuf import text_format
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import DataReceived, ResponseReceived, StreamEnded, TrailersReceived
from support.management import SECOND, ManagedCoordinator, compare_with_record

from granitespool.gnmi import gnmi_pb2 as pb
from granitespool.gnmi.connection import GnmiConnection
from granitespool.netconf.session import NetconfSession

BASE = "urn:ietf:params:xml:ns:netconf:base:1.0"
XMLNS = 'xmlns="urn:granitespool:coordinator"'
MONITORING = 'xmlns="urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring"'
NOTIFICATION = 'xmlns="urn:ietf:params:xml:ns:netconf:notification:1.0"'
DEFAULTS = 'xmlns="urn:ietf:params:xml:ns:yang:ietf-netconf-with-defaults"'
OPERATION = f'xmlns:nc="{BASE}" nc:operation'
YANG = 'xmlns:yang="urn:ietf:params:xml:ns:yang:1" yang'


@pytest.fixture
def managed(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    with ManagedCoordinator(tmp_path) as managed:
        yield managed


def one_element_per_line(data):
    """Return XML as text with one element per line; reversible, as no element contains a line break."""
    return data.decode().replace("><", ">\n<")


class NetconfRecorder:
    """A NETCONF session that records requests and replies."""

    def __init__(self, managed, user="operations", minor=1):
        self.managed, self.number = managed, 0
        self.session, self.transport = managed.session(NetconfSession, user)
        self.text = [f"## session of {user}", one_element_per_line(self.transport.take_sent())]
        hello = f'<hello xmlns="{BASE}"><capabilities><capability>urn:ietf:params:netconf:base:1.{minor}'
        self.chunked = bool(minor)
        self.session.receive(f"{hello}</capability></capabilities></hello>]]>]]>".encode())

    def send(self, body, attributes=None):
        self.number += 1
        attributes = f'message-id="{self.number}"' if attributes is None else attributes
        data = f'<rpc {attributes} xmlns="{BASE}">{body}</rpc>'.encode()
        self.session.receive(b"\n#%d\n%s\n##\n" % (len(data), data) if self.chunked else data + b"]]>]]>")
        self.managed.run_protocol(self.session)

    def request(self, body, attributes=None):
        self.send(body, attributes)
        self.text += [f"## {body}", self.received_text()]

    def received_text(self):
        end_reason = f"\n## ended: {self.transport.end_reason}" if self.transport.end_reason else ""
        return one_element_per_line(self.transport.take_sent()) + end_reason

    def edit(self, settings, store="candidate", options=""):
        self.request(
            f"<edit-config><target><{store}/></target>{options}<config><coordinator {XMLNS}><settings>"
            f"{settings}</settings></coordinator></config></edit-config>"
        )


def leaf_names(node):
    """Return the names of all leaves and leaf-lists below a node of the module."""
    if not node.children:
        return {node.name}
    return set().union(*map(leaf_names, node.children.values()))


def test_netconf_get_of_the_whole_tree(managed, tmp_path):
    client = NetconfRecorder(managed)
    client.request("<get/>")
    client.request(f"<get><with-defaults {DEFAULTS}>report-all</with-defaults></get>")
    text = "\n".join(client.text) + "\n"
    assert not [name for name in leaf_names(managed.management.model.top) if f"<{name}>" not in text]
    compare_with_record("management/netconf_get.txt", text, tmp_path)


FILTERS = [
    f"<filter><coordinator {XMLNS}><state><backend><name>s-1</name></backend></state></coordinator></filter>",
    f"<filter><coordinator {XMLNS}><state><backend><name/><phase/></backend></state></coordinator></filter>",
    f"<filter><coordinator {XMLNS}><settings><zone/></settings><state><fleet/></state></coordinator>"
    "</filter>",
    f"<filter><coordinator {XMLNS}><state><table><zone>x</zone></table></state></coordinator></filter>",
    f"<filter><coordinator {XMLNS}><state><table/></state></coordinator><coordinator {XMLNS}>"
    "<settings><drain/></settings></coordinator></filter>",
    "<filter/>",
    "<filter type='xpath' xmlns:g='urn:granitespool:coordinator' "
    "select=\"/g:coordinator/g:state/g:backend[g:name='s-4']/g:phase\"/>",
    "<filter type='xpath' xmlns:g='urn:granitespool:coordinator' select='//g:drain'/>",
    "<filter type='xpath' xmlns:g='urn:granitespool:coordinator' select='g:coordinator/g:settings/g:zone'/>",
    "<filter type='xpath'/>",
    "<filter type='xpath' select='//['/>",
    "<filter type='xpath' select='1+1'/>",
    "<filter type='regex'/>",
]
CONFIG_ELEMENT = (
    f"<config><coordinator {XMLNS}><settings><zone>n</zone><zone>s</zone></settings></coordinator></config>"
)
REJECTED = [
    "<nothing/>",
    "<get/><get/>",
    "<get-config/>",
    "<get-config><source><url>x</url></source></get-config>",
    "<get-config><source><nowhere/></source></get-config>",
    f"<get><with-defaults {DEFAULTS}>trim</with-defaults></get>",
    "<edit-config><target><candidate/></target></edit-config>",
    "<edit-config><target><running/></target><config/></edit-config>",
    "<edit-config><target><candidate/></target><test-option>maybe</test-option><config/></edit-config>",
    "<edit-config><target><candidate/></target><error-option>x</error-option><config/></edit-config>",
    "<edit-config><target><candidate/></target><config><other xmlns='urn:x'/></config></edit-config>",
    f"<edit-config><target><candidate/></target><config><other {XMLNS}/></config></edit-config>",
    f"<edit-config><target><candidate/></target><config><coordinator {XMLNS}><other/></coordinator></config>"
    "</edit-config>",
    f"<edit-config><target><candidate/></target><config><coordinator {XMLNS}><state/></coordinator></config>"
    "</edit-config>",
    "<copy-config><target><candidate/></target></copy-config>",
    "<copy-config><target><running/></target><source><candidate/></source></copy-config>",
    "<delete-config><target><running/></target></delete-config>",
    "<validate/>",
    "<commit><confirmed/><confirm-timeout>x</confirm-timeout></commit>",
    "<commit><confirmed/><confirm-timeout>0</confirm-timeout></commit>",
    "<commit><persist-id>x</persist-id></commit>",
    "<cancel-commit/>",
    "<unlock><target><running/></target></unlock>",
    "<kill-session><session-id>77</session-id></kill-session>",
    f"<get-schema {MONITORING}><identifier>x</identifier></get-schema>",
    f"<create-subscription {NOTIFICATION}><stream>other</stream></create-subscription>",
    f"<create-subscription {NOTIFICATION}><startTime>2026-01-01T00:00:00Z</startTime></create-subscription>",
]
EDITS = [
    ("<channel><lines-per-second>0</lines-per-second></channel>", ""),
    ("<channel><lines-per-second>many</lines-per-second></channel>", ""),
    ("<class><benefit>1</benefit></class>", ""),
    ("<none/>", ""),
    ("<zone xmlns='urn:x'>q</zone>", ""),
    (f"<drain {OPERATION}='twist'/>", ""),
    (f"<zone {OPERATION}='create'>n</zone>", ""),
    (f"<class {OPERATION}='delete'><name>none</name></class>", ""),
    (f"<zone {YANG}:insert='nowhere'>q</zone>", ""),
    (f"<zone {YANG}:insert='before'>q</zone>", ""),
    (f"<zone {YANG}:insert='before' yang:value='z'>q</zone>", ""),
    (f"<class {YANG}:insert='after' yang:key='[x=1]'><name>q</name></class>", ""),
    ("<zone><x/></zone>", ""),
    ("<cold><share>2</share></cold>", ""),
    ("<class><name>pay</name><promised-time>9000000</promised-time></class>", ""),
    (f"<cold><time {OPERATION}='delete'/></cold>", ""),
    (f"<zone {YANG}:insert='first'>q</zone>", ""),
    (f"<class {YANG}:insert='before' yang:key=\"[name='ask']\"><name>new</name></class>", ""),
    (f"<drain {OPERATION}='replace'><grace>4000000</grace></drain>", ""),
    ("<drain><grace>5000000</grace></drain>", "<default-operation>none</default-operation>"),
    ("<zone>n</zone><zone>s</zone>", "<default-operation>replace</default-operation>"),
    ("<zone>y</zone>", "<test-option>test-only</test-option>"),
    ("<zone>y</zone>", "<test-option>set</test-option>"),
]


def test_netconf_operations(managed, tmp_path):
    client, other_client = NetconfRecorder(managed), NetconfRecorder(managed, minor=0)
    pacer, blind = NetconfRecorder(managed, "pacer"), NetconfRecorder(managed, "blind")
    other_client.request(f"<create-subscription {NOTIFICATION}/>")
    other_client.request(f"<create-subscription {NOTIFICATION}/>")
    for request_filter in FILTERS:
        client.request(f"<get>{request_filter}</get>")
    for body in REJECTED:
        client.request(body)
    client.request("<get/>", "")
    for settings, options in EDITS:
        client.edit(settings, options=options)
        client.request("<get-config><source><candidate/></source></get-config>")
    client.request("<commit/>")
    client.request("<discard-changes/>")
    client.edit("<channel><lines-per-second>500</lines-per-second></channel>")
    client.request("<validate><source><candidate/></source></validate>")
    client.request(f"<validate><source>{CONFIG_ELEMENT}</source></validate>")
    other_client.request("<lock><target><candidate/></target></lock>")
    client.request("<lock><target><running/></target></lock>")
    other_client.request("<commit/>")
    client.request("<commit/>")
    client.request("<unlock><target><running/></target></unlock>")
    client.edit("<channel><lines-per-second>0.5</lines-per-second></channel>")
    client.request("<commit/>")
    client.request("<discard-changes/>")
    client.edit("<channel><lines-per-second>600</lines-per-second></channel>")
    client.request("<commit><confirmed/><persist>q7</persist></commit>")
    other_client.request("<commit/>")
    other_client.request("<commit><persist-id>q8</persist-id></commit>")
    other_client.request("<commit><persist-id>q7</persist-id></commit>")
    client.edit("<channel><lines-per-second>700</lines-per-second></channel>")
    client.request("<commit><confirmed/><confirm-timeout>30</confirm-timeout></commit>")
    other_client.request("<cancel-commit/>")
    client.request("<cancel-commit/>")
    client.edit("<channel><lines-per-second>800</lines-per-second></channel>")
    client.request("<commit><confirmed/><confirm-timeout>1</confirm-timeout></commit>")
    managed.loop.now += 2 * SECOND
    managed.management.end_of_turn(managed.loop.now)
    client.request("<get-config><source><running/></source></get-config>")
    client.edit("<class><name>late</name></class>", "startup")
    client.request("<get-config><source><startup/></source></get-config>")
    client.request("<copy-config><target><startup/></target><source><running/></source></copy-config>")
    client.request(
        f"<copy-config><target><candidate/></target><source>{CONFIG_ELEMENT}</source></copy-config>"
    )
    client.request("<delete-config><target><startup/></target></delete-config>")
    pacer.edit("<drain><grace>5</grace></drain>")
    pacer.request("<kill-session><session-id>1</session-id></kill-session>")
    blind.request("<get/>")
    client.request(f"<get-schema {MONITORING}><identifier>granitespool</identifier></get-schema>")
    schema = client.text.pop()
    client.text.append(f"{len(schema)} characters, {hashlib.sha256(schema.encode()).hexdigest()}")
    client.request("<kill-session><session-id>2</session-id></kill-session>")
    other_client.text.append(other_client.received_text())
    pacer.request("<close-session/>")
    blind.session.receive(b"\n#x\n")
    blind.text.append(blind.received_text())
    text = "\n".join([*client.text, *other_client.text, *pacer.text, *blind.text]) + "\n"
    compare_with_record("management/netconf_operations.txt", text, tmp_path)


class GnmiRecorder:
    """A gNMI connection that records requests, responses and statuses."""

    def __init__(self, managed, user="operations"):
        self.managed, self.text = managed, [f"## connection of {user}"]
        self.session, self.transport = managed.session(GnmiConnection, user)
        self.h2 = H2Connection(H2Configuration(client_side=True, header_encoding="utf-8"))
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(1 << 30)
        self.bodies = {}
        self.exchange()

    def exchange(self):
        """Exchange bytes between client and server until neither has any bytes left to send."""
        while True:
            self.managed.run_protocol(self.session)
            received, outgoing = self.transport.take_sent(), self.h2.data_to_send()
            if not received and not outgoing:
                return
            if outgoing:
                self.session.receive(outgoing)
            for event in self.h2.receive_data(received) if received else ():
                self.record_event(event)

    def record_event(self, event):
        if isinstance(event, DataReceived):
            self.bodies[event.stream_id] += event.data
            self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        elif isinstance(event, (ResponseReceived, TrailersReceived)):
            self.text.append(f"headers {event.headers}")
        elif isinstance(event, StreamEnded):
            self.text.append("end of stream")

    def open(self, method, *messages, end=True, record_request=True):
        stream = self.h2.get_next_available_stream_id()
        self.bodies[stream] = bytearray()
        headers = [(":method", "POST"), (":scheme", "https"), (":path", f"/gnmi.gNMI/{method}")]
        headers += [(":authority", "x"), ("content-type", "application/grpc"), ("te", "trailers")]
        self.h2.send_headers(stream, headers)
        self.text.append(f"## {method}")
        for message in messages:
            self.send_message(stream, message, record_request)
        if end:
            self.h2.end_stream(stream)
        self.exchange()
        return stream

    def send_message(self, stream, message, record_request=True):
        if record_request:
            self.text.append(f"# {text_format.MessageToString(message, as_one_line=True)}")
        data = message.SerializeToString()
        self.h2.send_data(stream, b"\0" + len(data).to_bytes(4, "big") + data)

    def record_responses(self, stream, kind):
        """Record the received messages of a stream, as text and with the digest of their bytes."""
        body = self.bodies[stream]
        while body:
            size = int.from_bytes(body[1:5], "big")
            data = bytes(body[5 : 5 + size])
            del body[: 5 + size]
            self.text.append(f"{size} bytes {hashlib.sha256(data).hexdigest()}")
            self.text.append(
                text_format.MessageToString(kind.FromString(data)).rstrip().replace(r",\"", ',\n\\"')
            )

    def call(self, method, message, kind):
        self.record_responses(self.open(method, message), kind)

    def get(self, *texts, **more):
        self.call("Get", pb.GetRequest(path=[path(text) for text in texts], **more), pb.GetResponse)

    def set(self, **parts):
        self.call("Set", pb.SetRequest(**parts), pb.SetResponse)


def path(text):
    """Return the path message of a text such as "/a/b[k=v]/c"."""
    message = pb.Path()
    for part in filter(None, text.split("/")):
        name, _, keys = part.partition("[")
        message.elem.add(
            name=name, key=dict(pair.split("=") for pair in keys.rstrip("]").split("][") if pair)
        )
    return message


def update(text, **value):
    return pb.Update(path=path(text), val=pb.TypedValue(**value))


def subscribe_request(
    *texts,
    mode=pb.SubscriptionList.STREAM,
    subscription_mode=pb.ON_CHANGE,
    encoding=pb.PROTO,
    sample_interval=0,
    **more,
):
    subscriptions = [
        pb.Subscription(path=path(text), mode=subscription_mode, sample_interval=sample_interval)
        for text in texts
    ]
    return pb.SubscribeRequest(
        subscribe=pb.SubscriptionList(mode=mode, encoding=encoding, subscription=subscriptions, **more)
    )


LINES_PER_SECOND = "/coordinator/settings/channel/lines-per-second"


def test_gnmi_get_of_the_whole_tree(managed, tmp_path):
    client = GnmiRecorder(managed)
    for encoding in (pb.JSON_IETF, pb.JSON, pb.PROTO):
        client.get("/", encoding=encoding)
    compare_with_record("management/gnmi_get.txt", "\n".join(client.text) + "\n", tmp_path)


def record_gets(client):
    client.call("Capabilities", pb.CapabilityRequest(), pb.CapabilityResponse)
    client.get("/", type=pb.GetRequest.CONFIG, encoding=pb.JSON_IETF)
    client.get("/coordinator/state/fleet", type=pb.GetRequest.STATE, encoding=pb.PROTO)
    client.get("/coordinator/state/backend[name=*]/phase", "/.../zone", encoding=pb.JSON_IETF)
    client.get("lines-per-second", prefix=path("/coordinator/settings/channel"))
    for text in (
        "/nothing",
        "/coordinator/state/backend[name=none]",
        "/coordinator/state/backend[colour=red]",
    ):
        client.get(text)
    client.get("/a" * 40)
    client.get(LINES_PER_SECOND, encoding=pb.ASCII)
    client.call("Get", pb.GetRequest(path=[pb.Path(origin="openconfig")]), pb.GetResponse)
    client.record_responses(client.open("Get"), pb.GetResponse)
    client.open("Nothing", pb.GetRequest())


def record_sets(client):
    client.set(
        delete=[path("/coordinator/settings/drain")],
        replace=[update("/coordinator/settings/channel", json_ietf_val=b'{"lines-per-second":"500.0"}')],
        update=[
            update("/coordinator/settings/class[name=pay]", json_val=b'{"benefit":"7"}'),
            update(LINES_PER_SECOND, double_val=450.0),
        ],
    )
    client.set(
        update=[update("/", json_ietf_val=b'{"granitespool:coordinator":{"settings":{"cold":{"time":5}}}}')]
    )
    zones = [pb.TypedValue(string_val=name) for name in "nst"]
    client.set(replace=[update("/coordinator/settings/zone", leaflist_val=pb.ScalarArray(element=zones))])
    for invalid_request in (
        update(LINES_PER_SECOND, int_val=0),
        update(LINES_PER_SECOND, string_val="fast"),
        update(LINES_PER_SECOND, json_ietf_val=b"{"),
        update(LINES_PER_SECOND, bytes_val=b"x"),
        update("/coordinator/state/name", string_val="x"),
        update("/coordinator/settings/nope", uint_val=1),
        update("/coordinator/settings/class", json_val=b'{"benefit":1}'),
        update("/coordinator/settings/cold[x=1]/time", uint_val=1),
        update("/coordinator/settings/zone", json_val=b'"n"'),
        update("/coordinator/settings/drain", json_val=b"5"),
        update("/coordinator/settings/class[name=new]", json_val=b"{}"),
        update("/other", json_val=b"{}"),
        update("/", json_val=b'{"other":{}}'),
    ):
        client.set(update=[invalid_request])
    for text in ("/coordinator/settings/class", "/coordinator/settings/zone", "/coordinator/settings"):
        client.set(delete=[path(text)])
    client.set(union_replace=[update(LINES_PER_SECOND, uint_val=1)])
    client.get("/coordinator/settings", encoding=pb.JSON_IETF)


def record_subscriptions(client, managed):
    phases = "/coordinator/state/backend/phase"
    once = client.open(
        "Subscribe",
        subscribe_request(phases, LINES_PER_SECOND, mode=pb.SubscriptionList.ONCE, encoding=pb.JSON_IETF),
    )
    client.record_responses(once, pb.SubscribeResponse)
    poll = client.open(
        "Subscribe", subscribe_request(LINES_PER_SECOND, mode=pb.SubscriptionList.POLL), end=False
    )
    client.send_message(poll, pb.SubscribeRequest(poll=pb.Poll()))
    client.h2.end_stream(poll)
    client.exchange()
    client.record_responses(poll, pb.SubscribeResponse)
    stream = client.open(
        "Subscribe", subscribe_request("/coordinator/settings/channel", "/coordinator/state/fleet"), end=False
    )
    sampled = client.open(
        "Subscribe",
        subscribe_request(
            "/coordinator/state/fleet/strained",
            subscription_mode=pb.SAMPLE,
            sample_interval=SECOND // 2,
            updates_only=True,
        ),
        end=False,
    )
    client.set(
        update=[update(LINES_PER_SECOND, uint_val=460)],
        delete=[path("/coordinator/settings/channel/messages-limit")],
    )
    for _ in range(4):
        managed.loop.now += SECOND // 2
        client.session.tick(managed.loop.now)
        client.exchange()
    for subscription in (stream, sampled):
        client.text.append("## streamed")
        client.record_responses(subscription, pb.SubscribeResponse)
    for invalid_request in (
        pb.SubscribeRequest(),
        subscribe_request("/nothing"),
        subscribe_request(*[LINES_PER_SECOND] * 65),
        subscribe_request(LINES_PER_SECOND, encoding=pb.BYTES),
        subscribe_request(LINES_PER_SECOND, subscription_mode=pb.SAMPLE, sample_interval=5),
    ):
        client.record_responses(
            client.open("Subscribe", invalid_request, record_request=False), pb.SubscribeResponse
        )


def test_gnmi_calls(managed, tmp_path):
    client, pacer, blind = (
        GnmiRecorder(managed),
        GnmiRecorder(managed, "pacer"),
        GnmiRecorder(managed, "blind"),
    )
    record_gets(client)
    record_sets(client)
    record_subscriptions(client, managed)
    pacer.set(update=[update("/coordinator/settings/drain/grace", uint_val=5)])
    pacer.set(update=[update(LINES_PER_SECOND, uint_val=900)])
    blind.get(LINES_PER_SECOND)
    blind.open("Subscribe", subscribe_request(LINES_PER_SECOND))
    text = "\n".join([*client.text, *pacer.text, *blind.text]) + "\n"
    compare_with_record("management/gnmi_calls.txt", text, tmp_path)
