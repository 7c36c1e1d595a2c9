"""The managers' wire against recordings, byte for byte: a made-up fleet by NETCONF and by gNMI."""

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
OURS = 'xmlns="urn:granitespool:coordinator"'
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


def lines_of(data):
    """Bytes as text, an XML element a line; nothing is lost, since no element of ours ends a line itself."""
    return data.decode().replace("><", ">\n<")


class NetconfRecorder:
    """One NETCONF session: asks, and keeps what was asked and answered."""

    def __init__(self, managed, user="operations", minor=1):
        self.managed, self.number = managed, 0
        self.protocol, self.session = managed.session(NetconfSession, user)
        self.text = [f"## session of {user}", lines_of(self.session.taken())]
        hello = f'<hello xmlns="{BASE}"><capabilities><capability>urn:ietf:params:netconf:base:1.{minor}'
        self.chunked = bool(minor)
        self.protocol.receive(f"{hello}</capability></capabilities></hello>]]>]]>".encode())

    def send(self, body, attributes=None):
        self.number += 1
        attributes = f'message-id="{self.number}"' if attributes is None else attributes
        data = f'<rpc {attributes} xmlns="{BASE}">{body}</rpc>'.encode()
        self.protocol.receive(b"\n#%d\n%s\n##\n" % (len(data), data) if self.chunked else data + b"]]>]]>")
        self.managed.play(self.protocol)

    def ask(self, body, attributes=None):
        self.send(body, attributes)
        self.text += [f"## {body}", self.heard()]

    def heard(self):
        end_reason = f"\n## ended: {self.session.end_reason}" if self.session.end_reason else ""
        return lines_of(self.session.taken()) + end_reason

    def edit(self, settings, store="candidate", options=""):
        self.ask(
            f"<edit-config><target><{store}/></target>{options}<config><coordinator {OURS}><settings>"
            f"{settings}</settings></coordinator></config></edit-config>"
        )


def leaf_names(node):
    """The names of all leaves and leaf-lists below a node of the module."""
    if not node.children:
        return {node.name}
    return set().union(*map(leaf_names, node.children.values()))


def test_netconf_get_of_the_whole_tree(managed, tmp_path):
    one = NetconfRecorder(managed)
    one.ask("<get/>")
    one.ask(f"<get><with-defaults {DEFAULTS}>report-all</with-defaults></get>")
    text = "\n".join(one.text) + "\n"
    assert not [name for name in leaf_names(managed.management.model.top) if f"<{name}>" not in text]
    compare_with_record("management/netconf_get.txt", text, tmp_path)


FILTERS = [
    f"<filter><coordinator {OURS}><state><backend><name>s-1</name></backend></state></coordinator></filter>",
    f"<filter><coordinator {OURS}><state><backend><name/><phase/></backend></state></coordinator></filter>",
    f"<filter><coordinator {OURS}><settings><zone/></settings><state><fleet/></state></coordinator></filter>",
    f"<filter><coordinator {OURS}><state><table><zone>x</zone></table></state></coordinator></filter>",
    f"<filter><coordinator {OURS}><state><table/></state></coordinator><coordinator {OURS}><settings><drain/>"
    "</settings></coordinator></filter>",
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
CONFIG = (
    f"<config><coordinator {OURS}><settings><zone>n</zone><zone>s</zone></settings></coordinator></config>"
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
    f"<edit-config><target><candidate/></target><config><other {OURS}/></config></edit-config>",
    f"<edit-config><target><candidate/></target><config><coordinator {OURS}><other/></coordinator></config>"
    "</edit-config>",
    f"<edit-config><target><candidate/></target><config><coordinator {OURS}><state/></coordinator></config>"
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
    one, two = NetconfRecorder(managed), NetconfRecorder(managed, minor=0)
    pacer, blind = NetconfRecorder(managed, "pacer"), NetconfRecorder(managed, "blind")
    two.ask(f"<create-subscription {NOTIFICATION}/>")
    two.ask(f"<create-subscription {NOTIFICATION}/>")
    for each in FILTERS:
        one.ask(f"<get>{each}</get>")
    for each in REJECTED:
        one.ask(each)
    one.ask("<get/>", "")
    for settings, options in EDITS:
        one.edit(settings, options=options)
        one.ask("<get-config><source><candidate/></source></get-config>")
    one.ask("<commit/>")
    one.ask("<discard-changes/>")
    one.edit("<channel><lines-per-second>500</lines-per-second></channel>")
    one.ask("<validate><source><candidate/></source></validate>")
    one.ask(f"<validate><source>{CONFIG}</source></validate>")
    two.ask("<lock><target><candidate/></target></lock>")
    one.ask("<lock><target><running/></target></lock>")
    two.ask("<commit/>")
    one.ask("<commit/>")
    one.ask("<unlock><target><running/></target></unlock>")
    one.edit("<channel><lines-per-second>0.5</lines-per-second></channel>")
    one.ask("<commit/>")
    one.ask("<discard-changes/>")
    one.edit("<channel><lines-per-second>600</lines-per-second></channel>")
    one.ask("<commit><confirmed/><persist>q7</persist></commit>")
    two.ask("<commit/>")
    two.ask("<commit><persist-id>q8</persist-id></commit>")
    two.ask("<commit><persist-id>q7</persist-id></commit>")
    one.edit("<channel><lines-per-second>700</lines-per-second></channel>")
    one.ask("<commit><confirmed/><confirm-timeout>30</confirm-timeout></commit>")
    two.ask("<cancel-commit/>")
    one.ask("<cancel-commit/>")
    one.edit("<channel><lines-per-second>800</lines-per-second></channel>")
    one.ask("<commit><confirmed/><confirm-timeout>1</confirm-timeout></commit>")
    managed.loop.now += 2 * SECOND
    managed.management.end_of_turn(managed.loop.now)
    one.ask("<get-config><source><running/></source></get-config>")
    one.edit("<class><name>late</name></class>", "startup")
    one.ask("<get-config><source><startup/></source></get-config>")
    one.ask("<copy-config><target><startup/></target><source><running/></source></copy-config>")
    one.ask(f"<copy-config><target><candidate/></target><source>{CONFIG}</source></copy-config>")
    one.ask("<delete-config><target><startup/></target></delete-config>")
    pacer.edit("<drain><grace>5</grace></drain>")
    pacer.ask("<kill-session><session-id>1</session-id></kill-session>")
    blind.ask("<get/>")
    one.ask(f"<get-schema {MONITORING}><identifier>granitespool</identifier></get-schema>")
    schema = one.text.pop()
    one.text.append(f"{len(schema)} characters, {hashlib.sha256(schema.encode()).hexdigest()}")
    one.ask("<kill-session><session-id>2</session-id></kill-session>")
    two.text.append(two.heard())
    pacer.ask("<close-session/>")
    blind.protocol.receive(b"\n#x\n")
    blind.text.append(blind.heard())
    text = "\n".join([*one.text, *two.text, *pacer.text, *blind.text]) + "\n"
    compare_with_record("management/netconf_operations.txt", text, tmp_path)


class GnmiRecorder:
    """One gNMI connection: calls, and keeps requests, answers and statuses."""

    def __init__(self, managed, user="operations"):
        self.managed, self.text = managed, [f"## connection of {user}"]
        self.protocol, self.session = managed.session(GnmiConnection, user)
        self.h2 = H2Connection(H2Configuration(client_side=True, header_encoding="utf-8"))
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(1 << 30)
        self.bodies = {}
        self.exchange()

    def exchange(self):
        """Carries bytes both ways until nobody has any."""
        while True:
            self.managed.play(self.protocol)
            heard, said = self.session.taken(), self.h2.data_to_send()
            if not heard and not said:
                return
            if said:
                self.protocol.receive(said)
            for event in self.h2.receive_data(heard) if heard else ():
                self.event(event)

    def event(self, event):
        if isinstance(event, DataReceived):
            self.bodies[event.stream_id] += event.data
            self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        elif isinstance(event, (ResponseReceived, TrailersReceived)):
            self.text.append(f"headers {event.headers}")
        elif isinstance(event, StreamEnded):
            self.text.append("end of stream")

    def open(self, method, *messages, end=True, show=True):
        stream = self.h2.get_next_available_stream_id()
        self.bodies[stream] = bytearray()
        headers = [(":method", "POST"), (":scheme", "https"), (":path", f"/gnmi.gNMI/{method}")]
        headers += [(":authority", "x"), ("content-type", "application/grpc"), ("te", "trailers")]
        self.h2.send_headers(stream, headers)
        self.text.append(f"## {method}")
        for message in messages:
            self.say(stream, message, show)
        if end:
            self.h2.end_stream(stream)
        self.exchange()
        return stream

    def say(self, stream, message, show=True):
        if show:
            self.text.append(f"# {text_format.MessageToString(message, as_one_line=True)}")
        data = message.SerializeToString()
        self.h2.send_data(stream, b"\0" + len(data).to_bytes(4, "big") + data)

    def answers(self, stream, kind):
        """Writes down the messages of a stream so far: text, and the bytes' digest."""
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
        self.answers(self.open(method, message), kind)

    def get(self, *texts, **more):
        self.call("Get", pb.GetRequest(path=[path(text) for text in texts], **more), pb.GetResponse)

    def set(self, **parts):
        self.call("Set", pb.SetRequest(**parts), pb.SetResponse)


def path(text):
    """A path message of "/a/b[k=v]/c"."""
    message = pb.Path()
    for part in filter(None, text.split("/")):
        name, _, keys = part.partition("[")
        message.elem.add(
            name=name, key=dict(pair.split("=") for pair in keys.rstrip("]").split("][") if pair)
        )
    return message


def update(text, **value):
    return pb.Update(path=path(text), val=pb.TypedValue(**value))


def listed(*texts, mode=pb.SubscriptionList.STREAM, one=pb.ON_CHANGE, encoding=pb.PROTO, every=0, **more):
    subscriptions = [pb.Subscription(path=path(text), mode=one, sample_interval=every) for text in texts]
    return pb.SubscribeRequest(
        subscribe=pb.SubscriptionList(mode=mode, encoding=encoding, subscription=subscriptions, **more)
    )


PACE = "/coordinator/settings/channel/lines-per-second"


def test_gnmi_get_of_the_whole_tree(managed, tmp_path):
    one = GnmiRecorder(managed)
    for encoding in (pb.JSON_IETF, pb.JSON, pb.PROTO):
        one.get("/", encoding=encoding)
    compare_with_record("management/gnmi_get.txt", "\n".join(one.text) + "\n", tmp_path)


def gets(one):
    one.call("Capabilities", pb.CapabilityRequest(), pb.CapabilityResponse)
    one.get("/", type=pb.GetRequest.CONFIG, encoding=pb.JSON_IETF)
    one.get("/coordinator/state/fleet", type=pb.GetRequest.STATE, encoding=pb.PROTO)
    one.get("/coordinator/state/backend[name=*]/phase", "/.../zone", encoding=pb.JSON_IETF)
    one.get("lines-per-second", prefix=path("/coordinator/settings/channel"))
    for text in (
        "/nothing",
        "/coordinator/state/backend[name=none]",
        "/coordinator/state/backend[colour=red]",
    ):
        one.get(text)
    one.get("/a" * 40)
    one.get(PACE, encoding=pb.ASCII)
    one.call("Get", pb.GetRequest(path=[pb.Path(origin="openconfig")]), pb.GetResponse)
    one.answers(one.open("Get"), pb.GetResponse)
    one.open("Nothing", pb.GetRequest())


def sets(one):
    one.set(
        delete=[path("/coordinator/settings/drain")],
        replace=[update("/coordinator/settings/channel", json_ietf_val=b'{"lines-per-second":"500.0"}')],
        update=[
            update("/coordinator/settings/class[name=pay]", json_val=b'{"benefit":"7"}'),
            update(PACE, double_val=450.0),
        ],
    )
    one.set(
        update=[update("/", json_ietf_val=b'{"granitespool:coordinator":{"settings":{"cold":{"time":5}}}}')]
    )
    zones = [pb.TypedValue(string_val=name) for name in "nst"]
    one.set(replace=[update("/coordinator/settings/zone", leaflist_val=pb.ScalarArray(element=zones))])
    for wrong in (
        update(PACE, int_val=0),
        update(PACE, string_val="fast"),
        update(PACE, json_ietf_val=b"{"),
        update(PACE, bytes_val=b"x"),
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
        one.set(update=[wrong])
    for text in ("/coordinator/settings/class", "/coordinator/settings/zone", "/coordinator/settings"):
        one.set(delete=[path(text)])
    one.set(union_replace=[update(PACE, uint_val=1)])
    one.get("/coordinator/settings", encoding=pb.JSON_IETF)


def subscriptions(one, managed):
    phases = "/coordinator/state/backend/phase"
    once = one.open("Subscribe", listed(phases, PACE, mode=pb.SubscriptionList.ONCE, encoding=pb.JSON_IETF))
    one.answers(once, pb.SubscribeResponse)
    poll = one.open("Subscribe", listed(PACE, mode=pb.SubscriptionList.POLL), end=False)
    one.say(poll, pb.SubscribeRequest(poll=pb.Poll()))
    one.h2.end_stream(poll)
    one.exchange()
    one.answers(poll, pb.SubscribeResponse)
    stream = one.open(
        "Subscribe", listed("/coordinator/settings/channel", "/coordinator/state/fleet"), end=False
    )
    sampled = one.open(
        "Subscribe",
        listed("/coordinator/state/fleet/strained", one=pb.SAMPLE, every=SECOND // 2, updates_only=True),
        end=False,
    )
    one.set(
        update=[update(PACE, uint_val=460)], delete=[path("/coordinator/settings/channel/messages-limit")]
    )
    for _ in range(4):
        managed.loop.now += SECOND // 2
        one.protocol.tick(managed.loop.now)
        one.exchange()
    for each in (stream, sampled):
        one.text.append("## streamed")
        one.answers(each, pb.SubscribeResponse)
    for wrong in (
        pb.SubscribeRequest(),
        listed("/nothing"),
        listed(*[PACE] * 65),
        listed(PACE, encoding=pb.BYTES),
        listed(PACE, one=pb.SAMPLE, every=5),
    ):
        one.answers(one.open("Subscribe", wrong, show=False), pb.SubscribeResponse)


def test_gnmi_calls(managed, tmp_path):
    one, pacer, blind = GnmiRecorder(managed), GnmiRecorder(managed, "pacer"), GnmiRecorder(managed, "blind")
    gets(one)
    sets(one)
    subscriptions(one, managed)
    pacer.set(update=[update("/coordinator/settings/drain/grace", uint_val=5)])
    pacer.set(update=[update(PACE, uint_val=900)])
    blind.get(PACE)
    blind.open("Subscribe", listed(PACE))
    text = "\n".join([*one.text, *pacer.text, *blind.text]) + "\n"
    compare_with_record("management/gnmi_calls.txt", text, tmp_path)
