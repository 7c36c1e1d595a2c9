"""gNMI over gRPC on loopback: grpcio as a real client, and peers that misbehave below it."""

import json
import socket
import ssl
import threading
import time

import grpc
import pytest
from google.protobuf import text_format
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import ConnectionTerminated, DataReceived, ResponseReceived, StreamReset
from support.service_thread import ServiceThread, alive, free_port, keys

from granitespool.gnmi import gnmi_pb2 as pb
from granitespool.gnmi import paths
from granitespool.operator_settings import GnmiSettings
from granitespool.rpc.errors import StatusCode
from granitespool.rpc.http2 import MAX_COSTLY_FRAMES
from granitespool.simulation.netconf_client import client_context, reply_tag

BASE = "/coordinator/settings/channel/lines-per-second"


def path(text):
    """A path message of "/a/b[k=v]/c"."""
    message = pb.Path()
    for part in filter(None, text.split("/")):
        name, _, keys_ = part.partition("[")
        message.elem.add(
            name=name, key=dict(pair.split("=") for pair in keys_.rstrip("]").split("][") if pair)
        )
    return message


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    return keys(tmp_path_factory.mktemp("keys"))


class Gnmis(ServiceThread):
    """A house with both doors, and gNMI clients."""

    def __init__(self, path_, keys_folder, **more):
        super().__init__(path_, keys_folder, **more)
        import msgspec  # noqa: PLC0415

        self.gnmi = "127.0.0.1", free_port()
        self.operator = msgspec.structs.replace(
            self.operator, gnmi=GnmiSettings(listen=f"127.0.0.1:{self.gnmi[1]}", sessions=6, streams=16)
        )
        self.channels = []

    def client(self, user="operations"):
        read = {
            name: open(f"{self.keys}/{file}", "rb").read()
            for name, file in (
                ("root_certificates", "ca.pem"),
                ("private_key", f"{user}.key"),
                ("certificate_chain", f"{user}.pem"),
            )
        }
        channel = grpc.secure_channel(
            "{}:{}".format(*self.gnmi),
            grpc.ssl_channel_credentials(**read),
            [("grpc.use_local_subchannel_pool", 1)],
        )
        self.channels.append(channel)
        return Client(channel)

    def __exit__(self, *words):
        for channel in self.channels:
            channel.close()
        super().__exit__(*words)


class Client:
    def __init__(self, channel):
        def unary(name, kind):
            return channel.unary_unary(
                f"/gnmi.gNMI/{name}", lambda message: message.SerializeToString(), kind.FromString
            )

        self.capabilities, self.get_, self.set_ = (
            unary("Capabilities", pb.CapabilityResponse),
            unary("Get", pb.GetResponse),
            unary("Set", pb.SetResponse),
        )
        self.subscribe = channel.stream_stream(
            "/gnmi.gNMI/Subscribe",
            lambda message: message.SerializeToString(),
            pb.SubscribeResponse.FromString,
        )

    def get(self, *texts, encoding=pb.JSON_IETF, kind=pb.GetRequest.ALL, **more):
        return self.get_(
            pb.GetRequest(path=map(path, texts), encoding=encoding, type=kind, **more), timeout=10
        )

    def value(self, text, **more):
        [update] = self.get(text, **more).notification[0].update
        return json.loads(update.val.json_ietf_val)

    def set(self, **parts):
        """delete=[text], replace={text: value}, update={text: value}; code of the answer, or "ok"."""
        request = pb.SetRequest(delete=map(path, parts.get("delete", ())))
        for name in ("replace", "update"):
            for text, value in parts.get(name, {}).items():
                value = (
                    value
                    if isinstance(value, pb.TypedValue)
                    else pb.TypedValue(json_ietf_val=json.dumps(value).encode())
                )
                getattr(request, name).add(path=path(text), val=value)
        try:
            self.set_(request, timeout=10)
            return "ok"
        except grpc.RpcError as error:
            self.why = error.details()
            return error.code().name


def listed(*texts, mode=pb.SubscriptionList.STREAM, one=pb.ON_CHANGE, encoding=pb.PROTO, **more):
    subscription = {
        key: more.pop(key)
        for key in ("sample_interval", "heartbeat_interval", "suppress_redundant")
        if key in more
    }
    return pb.SubscribeRequest(
        subscribe=pb.SubscriptionList(
            mode=mode,
            encoding=encoding,
            subscription=[pb.Subscription(path=path(text), mode=one, **subscription) for text in texts],
            **more,
        )
    )


@pytest.fixture
def house(tmp_path, folder):
    with Gnmis(tmp_path, folder) as house:
        yield house


def test_capabilities_name_the_model_and_its_encodings(house):
    answer = house.client().capabilities(pb.CapabilityRequest(), timeout=10)
    assert answer.gNMI_version == "0.8.0" and list(answer.supported_encodings) == [
        pb.JSON,
        pb.JSON_IETF,
        pb.PROTO,
    ]
    assert [(each.name, each.version) for each in answer.supported_models] == [("granitespool", "2026-12-01")]


def test_get_takes_types_encodings_keys_wildcards_and_prefixes(house):
    client = house.client()
    assert client.value(BASE) == "1000.0"
    assert client.value("/granitespool:coordinator/settings/zone") == ["n", "s"]
    assert client.value("/coordinator/settings/class[name=pay]")["benefit"] == "5.0"
    assert len(client.get("/coordinator/state/backend[name=*]/phase").notification[0].update) == 6
    assert len(client.get("/coordinator/state/backend/phase").notification[0].update) == 6
    assert len(client.get("/.../phase").notification[0].update) == 6
    assert set(client.value("/")) == {"granitespool:coordinator"}
    assert set(client.value("/", kind=pb.GetRequest.CONFIG)["granitespool:coordinator"]) == {"settings"}
    assert set(client.value("/coordinator", kind=pb.GetRequest.STATE)) == {"state"}
    [update] = client.get(BASE, encoding=pb.PROTO).notification[0].update
    assert update.val.double_val == 1000.0
    [update] = (
        client.get("lines-per-second", prefix=path("/coordinator/settings/channel")).notification[0].update
    )
    assert text_format.MessageToString(update.path) == text_format.MessageToString(path(BASE))
    values_ = {
        each.path.elem[-1].name: each.val.WhichOneof("value")
        for each in client.get("/coordinator/state", encoding=pb.PROTO).notification[0].update
    }
    assert (values_["named"], values_["index"], values_["let-in"], values_["phase"]) == (
        "bool_val",
        "int_val",
        "double_val",
        "string_val",
    )


@pytest.mark.parametrize(
    "request_, code",
    [
        (pb.GetRequest(path=[path("/nothing")]), "INVALID_ARGUMENT"),
        (pb.GetRequest(path=[path("/coordinator/state/backend[name=none]")]), "NOT_FOUND"),
        (pb.GetRequest(path=[path("/coordinator/state/backend[colour=red]")]), "INVALID_ARGUMENT"),
        (pb.GetRequest(path=[path(BASE)], encoding=pb.ASCII), "UNIMPLEMENTED"),
        (pb.GetRequest(path=[pb.Path(origin="openconfig")]), "INVALID_ARGUMENT"),
        (pb.GetRequest(path=[path("/a" * 40)]), "INVALID_ARGUMENT"),
    ],
)
def test_a_get_that_cannot_be_answered_has_the_specifications_status(house, request_, code):
    with pytest.raises(grpc.RpcError) as raised:
        house.client().get_(request_, timeout=10)
    assert raised.value.code().name == code and raised.value.details()


def test_a_set_is_one_transaction_of_deletes_replaces_and_updates_in_this_order(house):
    client = house.client()
    assert (
        client.set(
            delete=["/coordinator/settings/drain"],
            replace={"/coordinator/settings/channel": {"lines-per-second": "500.0", "backlog-limit": 900}},
            update={
                "/coordinator/settings/class[name=pay]": {"benefit": "7"},
                BASE: pb.TypedValue(double_val=450.0),
            },
        )
        == "ok"
    )
    settings = house.settings()
    assert (
        settings["entries_per_s"],
        settings["backlog_limit"],
        settings["classes"][0]["priority_weight"],
    ) == (
        450,
        900,
        7,
    )
    assert "drain_grace" not in settings and "message_header" not in settings
    assert (
        client.set(delete=["/coordinator/settings/drain", "/coordinator/settings/channel/admission"]) == "ok"
    )
    assert client.set(update={"/": {"granitespool:coordinator": {"settings": {"cold": {"time": 5}}}}}) == "ok"
    assert house.settings()["warm_up_time"] == 5000
    assert client.set(replace={"/coordinator/settings/zone": ["n", "s", "t"]}) == "ok"
    assert house.settings()["zones"] == ["n", "s", "t"]
    house.logged("settings_changed", by="operations", version=2)


@pytest.mark.parametrize(
    "parts, code",
    [
        ({"update": {BASE: 0}}, "INVALID_ARGUMENT"),
        ({"update": {BASE: "fast"}}, "INVALID_ARGUMENT"),
        ({"update": {"/coordinator/state/name": "x"}}, "INVALID_ARGUMENT"),
        ({"update": {"/coordinator/settings/nope": 1}}, "INVALID_ARGUMENT"),
        ({"update": {"/coordinator/settings/class": {"benefit": 1}}}, "INVALID_ARGUMENT"),
        ({"update": {"/coordinator/settings/cold/share": "0.5"}}, "FAILED_PRECONDITION"),
        ({"update": {"/coordinator/settings/class[name=new]": {}}}, "FAILED_PRECONDITION"),
        ({"delete": ["/coordinator/settings/class[name=pay]"]}, "FAILED_PRECONDITION"),
        ({"update": {BASE: pb.TypedValue(json_ietf_val=b"{")}}, "INVALID_ARGUMENT"),
        ({"update": {BASE: pb.TypedValue(bytes_val=b"x")}}, "INVALID_ARGUMENT"),
        ({"replace": {"/": {"granitespool:coordinator": {"settings": {}}}}}, "FAILED_PRECONDITION"),
    ],
)
def test_a_rejected_set_changes_nothing(house, parts, code):
    client, before = house.client(), house.settings()
    parts = {**parts, "update": {"/coordinator/settings/drain/grace": 7, **parts.get("update", {})}}
    assert client.set(**parts) == code and client.why
    assert house.settings() == before and client.value("/coordinator/state/version") == 1


def test_users_are_authorized_and_gnmi_and_netconf_cannot_overwrite_each_other(house):
    client, netconf = house.client(), house.manager()
    assert house.client("reader").value(BASE) == "1000.0"
    assert house.client("reader").set(update={BASE: "5"}) == "PERMISSION_DENIED"
    assert house.client("pacer").set(update={BASE: "900"}) == "ok"
    assert house.client("pacer").set(update={"/coordinator/settings/drain/grace": 5}) == "PERMISSION_DENIED"
    assert reply_tag(netconf.edit("<channel><lines-per-second>800</lines-per-second></channel>")) == "ok"
    assert client.set(update={BASE: "700"}) == "ok"
    assert "begun from version 2" in netconf.commit() and house.settings()["entries_per_s"] == 700
    assert reply_tag(netconf.lock("running")) == "ok"
    assert client.set(update={BASE: "600"}) == "ABORTED"
    netconf.reset()
    house.logged("manager_disconnected")
    assert client.set(update={BASE: "600"}) == "ok" and house.settings()["entries_per_s"] == 600
    with pytest.raises(grpc.RpcError):
        house.client("stranger").capabilities(pb.CapabilityRequest(), timeout=2)


def test_a_set_whose_client_disconnects_is_applied_completely_or_not_at_all(house):
    for number in range(8):
        channel = house.client()
        future = channel.set_.future(
            pb.SetRequest(
                update=[
                    pb.Update(path=path(BASE), val=pb.TypedValue(uint_val=500 + number)),
                    pb.Update(
                        path=path("/coordinator/settings/drain/grace"),
                        val=pb.TypedValue(uint_val=500 + number),
                    ),
                ]
            )
        )
        time.sleep(0.004 * number)
        house.channels.pop().close()
        del future
        time.sleep(0.1)
        settings = house.settings()
        assert (
            settings["entries_per_s"] == 1000.0 or settings["drain_grace"] == settings["entries_per_s"] * 1000
        )
    assert house.client().set(update={BASE: "300"}) == "ok"


def test_once_and_poll_send_all_values_and_the_sync_response(house):
    client = house.client()
    answers = list(
        client.subscribe(iter([listed("/coordinator/state/backend/phase", mode=pb.SubscriptionList.ONCE)]))
    )
    assert len(answers[0].update.update) == 6 and answers[-1].sync_response and len(answers) == 2
    polls, gate = [listed(BASE, mode=pb.SubscriptionList.POLL)], threading.Event()

    def requests():
        yield polls[0]
        for _ in range(2):
            gate.wait(5)
            gate.clear()
            yield pb.SubscribeRequest(poll=pb.Poll())

    answers = client.subscribe(requests())
    for value in (1000.0, 400.0, 400.0):
        assert next(answers).update.update[0].val.double_val == value and next(answers).sync_response
        client.set(update={BASE: "400"})
        gate.set()
    assert list(answers) == []


def test_a_stream_sends_changes_and_deletions(house):
    client = house.client()
    stream = client.subscribe(
        iter([listed("/coordinator/settings/channel", "/coordinator/state/backend/phase")])
    )
    seen = []
    while not seen or not seen[-1].sync_response:
        seen.append(next(stream))
    assert sum(len(each.update.update) for each in seen) >= 7
    assert client.set(update={BASE: "450"}, delete=["/coordinator/settings/channel/messages-limit"]) == "ok"
    note = next(stream).update
    assert [each.val.double_val for each in note.update] == [450.0]
    assert client.set(delete=["/coordinator/settings/channel/message-head"]) == "ok"
    note = next(stream).update
    assert [each.elem[-1].name for each in note.delete] == ["message-head"] and not note.update
    stream.cancel()


def test_samples_are_periodic_and_heartbeats_repeat_what_is_suppressed(house):
    client = house.client()
    stream = client.subscribe(
        iter(
            [
                listed(
                    "/coordinator/state/fleet/strained",
                    one=pb.SAMPLE,
                    updates_only=True,
                    sample_interval=300_000_000,
                )
            ]
        )
    )
    assert next(stream).sync_response
    begun = time.monotonic()
    for _ in range(3):
        assert next(stream).update.update[0].val.bool_val is False
    assert 0.6 < time.monotonic() - begun < 2.5
    stream.cancel()
    stream = client.subscribe(
        iter(
            [
                listed(
                    "/coordinator/state/fleet/strained",
                    one=pb.SAMPLE,
                    updates_only=True,
                    sample_interval=250_000_000,
                    suppress_redundant=True,
                    heartbeat_interval=1_000_000_000,
                )
            ]
        )
    )
    assert next(stream).sync_response
    begun = time.monotonic()
    assert next(stream).update.update and time.monotonic() - begun > 0.7
    stream.cancel()


@pytest.mark.parametrize(
    "request_, code",
    [
        (pb.SubscribeRequest(), "INVALID_ARGUMENT"),
        (listed("/nothing"), "INVALID_ARGUMENT"),
        (listed(*[BASE] * 65), "RESOURCE_EXHAUSTED"),
        (listed(BASE, encoding=pb.BYTES), "UNIMPLEMENTED"),
        (listed(BASE, one=pb.SAMPLE, sample_interval=5), "INVALID_ARGUMENT"),
    ],
)
def test_a_wrong_subscription_is_rejected(house, request_, code):
    with pytest.raises(grpc.RpcError) as raised:
        list(house.client().subscribe(iter([request_])))
    assert raised.value.code().name == code


def test_deadlines_cancellation_and_unknown_methods(house):
    client = house.client()
    with pytest.raises(grpc.RpcError) as raised:
        for _ in client.subscribe(iter([listed(BASE)]), timeout=0.5):
            pass
    assert raised.value.code().name == "DEADLINE_EXCEEDED"
    stream = client.subscribe(iter([listed(BASE)]))
    next(stream)
    stream.cancel()
    channel = house.channels[0]
    for name, kind in (("/gnmi.gNMI/Nothing", "UNIMPLEMENTED"), ("/other.Service/Get", "UNIMPLEMENTED")):
        with pytest.raises(grpc.RpcError) as raised:
            channel.unary_unary(name)(b"", timeout=5)
        assert raised.value.code().name == kind
    with pytest.raises(grpc.RpcError) as raised:
        channel.unary_unary("/gnmi.gNMI/Get")(b"\xff\xff\xff", timeout=5)
    assert raised.value.code().name == "INVALID_ARGUMENT"
    session = next(iter(house.service.management.sessions.values()))
    end = time.monotonic() + 3
    while session.calls.open and time.monotonic() < end:
        time.sleep(0.01)
    assert not session.calls.open and not session.http2.queued


class Raw:
    """An HTTP/2 client that does as it is told, by h2 on a blocking TLS socket."""

    def __init__(self, house, folder):
        context = client_context(folder, "operations")
        context.set_alpn_protocols(["h2"])
        self.sock = context.wrap_socket(
            socket.create_connection(house.gnmi, timeout=5), server_hostname="127.0.0.1"
        )
        self.h2 = H2Connection(
            H2Configuration(
                client_side=True, validate_outbound_headers=False, normalize_outbound_headers=False
            )
        )
        self.h2.initiate_connection()
        self.events = []
        self.flush()

    def flush(self):
        self.sock.sendall(self.h2.data_to_send())

    def call(self, method="Subscribe", **more):
        stream = self.h2.get_next_available_stream_id()
        self.h2.send_headers(
            stream,
            [
                (":method", "POST"),
                (":scheme", "https"),
                (":path", f"/gnmi.gNMI/{method}"),
                (":authority", "x"),
                ("content-type", "application/grpc"),
                ("te", "trailers"),
                *more.get("headers", ()),
            ],
        )
        return stream

    def until(self, kind, seconds=5):
        """The first event of a kind; ConnectionError where the connection ends before."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for event in self.events:
                if isinstance(event, kind):
                    self.events.remove(event)
                    return event
            try:
                data = self.sock.recv(1 << 16)
            except ssl.SSLError as error:
                raise ConnectionError from error
            if not data:
                raise ConnectionError
            self.events += self.h2.receive_data(data)
        raise AssertionError((kind, self.events))


def framed(message):
    data = message.SerializeToString()
    return b"\0" + len(data).to_bytes(4, "big") + data


def flood_of(raw, how):
    """Plays one kind of abuse; the server is to end the connection."""
    if how == "rapid resets":
        for _ in range(MAX_COSTLY_FRAMES + 20):
            raw.h2.reset_stream(raw.call())
    elif how == "settings":
        raw.flush()
        raw.sock.sendall(b"\0\0\0\4\0\0\0\0\0" * (MAX_COSTLY_FRAMES + 20))
    elif how == "pings":
        for number in range(MAX_COSTLY_FRAMES + 20):
            raw.h2.ping(number.to_bytes(8, "big"))
    elif how == "headers":
        raw.call(headers=[("x-large", "y" * 20_000)])
    elif how == "hpack":
        raw.call(headers=[("x-large", "y" * 3_000)] * 400)
    elif how == "no http2":
        raw.sock.sendall(b"\xff" * 200)
    raw.flush()


@pytest.mark.parametrize("how", ["rapid resets", "settings", "pings", "headers", "hpack", "no http2"])
def test_a_flood_ends_its_connection_without_effect_on_others(house, folder, how):
    proxy, client, raw = house.proxy(), house.client(), Raw(house, folder)
    with pytest.raises(ConnectionError):
        flood_of(raw, how)
        event = raw.until(ConnectionTerminated)
        raise ConnectionError(str(event))
    assert client.value(BASE) == "1000.0" and alive(proxy)
    proxy.close()


@pytest.mark.parametrize(
    "data, code",
    [
        (b"\1\0\0\0\1x", StatusCode.UNIMPLEMENTED),
        (b"\0\x7f\xff\xff\xff", StatusCode.RESOURCE_EXHAUSTED),
        (framed(pb.Poll()) * 100, StatusCode.RESOURCE_EXHAUSTED),
    ],
)
def test_bodies_over_the_limits_are_answered_by_a_status(house, folder, data, code):
    raw = Raw(house, folder)
    stream = raw.call()
    raw.h2.send_data(stream, data)
    raw.flush()
    event = raw.until(ResponseReceived)
    headers = {key.decode() if isinstance(key, bytes) else key: value for key, value in event.headers}
    status = headers["grpc-status"]
    assert int(status) == code


def test_a_stalled_message_ends_at_its_deadline_and_a_stalled_reader_delays_nobody(house, folder):
    raw, client = Raw(house, folder), house.client()
    stream = raw.call(headers=[("grpc-timeout", "500m")])
    raw.h2.send_data(stream, framed(listed(BASE))[:-4])
    raw.flush()
    headers = {
        key.decode() if isinstance(key, bytes) else key: value
        for key, value in raw.until(ResponseReceived).headers
    }
    assert int(headers["grpc-status"]) == StatusCode.DEADLINE_EXCEEDED
    stalled = Raw(house, folder)
    for _ in range(8):  # all of the state, sampled, on windows that nobody opens
        one = stalled.call()
        stalled.h2.send_data(one, framed(listed("/coordinator", one=pb.SAMPLE, sample_interval=250_000_000)))
    stalled.flush()
    begun = time.monotonic()
    while time.monotonic() - begun < 1.5:
        asked = time.monotonic()
        assert client.value(BASE) == "1000.0"
        assert time.monotonic() - asked < 0.5
    for session in list(house.service.management.sessions.values()):
        assert all(len(queue) < 300_000 for queue in session.http2.queued.values())
    for _ in range(40):
        stalled.call()  # over the streams that a connection may have
    with pytest.raises(Exception):  # noqa: B017 the server resets or ends
        stalled.flush()
        stalled.until((StreamReset, ConnectionTerminated))
        raise RuntimeError


def test_a_shutdown_sends_goaway(tmp_path, folder):
    house = Gnmis(tmp_path, folder)
    with house:
        raw = Raw(house, folder)
        raw.call()
        raw.flush()
        end = time.monotonic() + 3
        while not house.service.management.sessions and time.monotonic() < end:
            time.sleep(0.01)
        most = house.service.streams.admission.connections_limit
        assert most == house.read()["connections"] - (8 + 4 + 1) - (6 + 3 + 1)
    assert raw.until(ConnectionTerminated).error_code == 0


def test_what_is_not_grpc_is_answered_415_and_the_connection_goes_on(house, folder):
    raw = Raw(house, folder)
    stream = raw.h2.get_next_available_stream_id()
    raw.h2.send_headers(
        stream,
        [(":method", "GET"), (":scheme", "https"), (":path", "/"), (":authority", "x")],
        end_stream=True,
    )
    raw.flush()
    headers = dict(raw.until(ResponseReceived).headers)
    assert headers.get(b":status", headers.get(":status")) in (b"415", "415")
    two = raw.call("Capabilities")
    raw.h2.send_data(two, framed(pb.CapabilityRequest()), end_stream=True)
    raw.flush()
    assert raw.until(DataReceived).data


@pytest.mark.parametrize(
    "text, found",
    [
        ("/coordinator/state/backend[name=a]/phase", ["ready"]),
        ("/coordinator/*/backend/phase", ["ready", "gone"]),
        ("/.../phase", ["ready", "gone"]),
        ("/coordinator/state/backend[name=*]/phase", ["ready", "gone"]),
        ("/.../backend[name=b]/.../phase", ["gone"]),
        ("/coordinator/state/none", []),
    ],
)
def test_paths_find_what_they_match(text, found):
    from granitespool.management.model import Model  # noqa: PLC0415

    whole = {
        "coordinator": {
            "state": {"backend": [{"name": "a", "phase": "ready"}, {"name": "b", "phase": "gone"}]}
        }
    }
    found_matches = paths.matches(paths.RootNode(Model().top), whole, paths.parse_path(pb.Path(), path(text)))
    assert [match.value for match in found_matches] == found
