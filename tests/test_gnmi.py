"""gNMI over gRPC on loopback: regular calls with grpcio, and HTTP/2 peers that misbehave."""

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
from h2.events import ConnectionTerminated, DataReceived, PingAckReceived, ResponseReceived, StreamReset
from support.service_thread import ServiceThread, answers_ping, free_port, make_keys

from granitespool.gnmi import gnmi_pb2 as pb
from granitespool.gnmi import paths
from granitespool.operator_settings import GnmiSettings
from granitespool.rpc.errors import StatusCode
from granitespool.rpc.http2 import MAX_COSTLY_FRAMES
from granitespool.simulation.netconf_client import client_context, reply_tag

LINES_PER_SECOND = "/coordinator/settings/channel/lines-per-second"


def path(text):
    """Return the path message of a text such as "/a/b[k=v]/c"."""
    message = pb.Path()
    for part in filter(None, text.split("/")):
        name, _, key_text = part.partition("[")
        message.elem.add(
            name=name, key=dict(pair.split("=") for pair in key_text.rstrip("]").split("][") if pair)
        )
    return message


@pytest.fixture(scope="module")
def keys_folder(tmp_path_factory):
    return make_keys(tmp_path_factory.mktemp("keys"))


class GnmiServiceThread(ServiceThread):
    """A service with NETCONF and gNMI listeners, and gNMI clients."""

    def __init__(self, folder, keys_folder, **more):
        super().__init__(folder, keys_folder, **more)
        import msgspec  # noqa: PLC0415

        self.gnmi_address = "127.0.0.1", free_port()
        self.operator = msgspec.structs.replace(
            self.operator,
            gnmi=GnmiSettings(listen=f"127.0.0.1:{self.gnmi_address[1]}", sessions=6, streams=16),
        )
        self.channels = []

    def client(self, user="operations"):
        credentials = {
            name: open(f"{self.keys}/{file}", "rb").read()
            for name, file in (
                ("root_certificates", "ca.pem"),
                ("private_key", f"{user}.key"),
                ("certificate_chain", f"{user}.pem"),
            )
        }
        channel = grpc.secure_channel(
            "{}:{}".format(*self.gnmi_address),
            grpc.ssl_channel_credentials(**credentials),
            [("grpc.use_local_subchannel_pool", 1)],
        )
        self.channels.append(channel)
        return Client(channel)

    def __exit__(self, *exception):
        for channel in self.channels:
            channel.close()
        super().__exit__(*exception)


class Client:
    """A gNMI client with grpcio."""

    def __init__(self, channel):
        def unary(name, response_type):
            return channel.unary_unary(
                f"/gnmi.gNMI/{name}", lambda message: message.SerializeToString(), response_type.FromString
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

    def get(self, *texts, encoding=pb.JSON_IETF, data_type=pb.GetRequest.ALL, **more):
        return self.get_(
            pb.GetRequest(path=map(path, texts), encoding=encoding, type=data_type, **more), timeout=10
        )

    def value(self, text, **more):
        [update] = self.get(text, **more).notification[0].update
        return json.loads(update.val.json_ietf_val)

    def set(self, **parts):
        """Call Set, and return "ok" or the name of the error status code.

        Args:
            **parts: delete=[path text], replace={path text: value}, update={path text: value}.
        """
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
            self.details = error.details()
            return error.code().name


def subscribe_request(
    *texts, mode=pb.SubscriptionList.STREAM, subscription_mode=pb.ON_CHANGE, encoding=pb.PROTO, **more
):
    subscription = {
        key: more.pop(key)
        for key in ("sample_interval", "heartbeat_interval", "suppress_redundant")
        if key in more
    }
    return pb.SubscribeRequest(
        subscribe=pb.SubscriptionList(
            mode=mode,
            encoding=encoding,
            subscription=[
                pb.Subscription(path=path(text), mode=subscription_mode, **subscription) for text in texts
            ],
            **more,
        )
    )


@pytest.fixture
def server(tmp_path, keys_folder):
    with GnmiServiceThread(tmp_path, keys_folder) as server:
        yield server


def test_capabilities_name_the_model_and_its_encodings(server):
    response = server.client().capabilities(pb.CapabilityRequest(), timeout=10)
    assert response.gNMI_version == "0.8.0" and list(response.supported_encodings) == [
        pb.JSON,
        pb.JSON_IETF,
        pb.PROTO,
    ]
    assert [(module.name, module.version) for module in response.supported_models] == [
        ("granitespool", "2026-12-01")
    ]


def test_get_supports_types_encodings_keys_wildcards_and_prefixes(server):
    client = server.client()
    assert client.value(LINES_PER_SECOND) == "1000.0"
    assert client.value("/granitespool:coordinator/settings/zone") == ["n", "s"]
    assert client.value("/coordinator/settings/class[name=pay]")["benefit"] == "5.0"
    assert len(client.get("/coordinator/state/backend[name=*]/phase").notification[0].update) == 6
    assert len(client.get("/coordinator/state/backend/phase").notification[0].update) == 6
    assert len(client.get("/.../phase").notification[0].update) == 6
    assert set(client.value("/")) == {"granitespool:coordinator"}
    assert set(client.value("/", data_type=pb.GetRequest.CONFIG)["granitespool:coordinator"]) == {"settings"}
    assert set(client.value("/coordinator", data_type=pb.GetRequest.STATE)) == {"state"}
    [update] = client.get(LINES_PER_SECOND, encoding=pb.PROTO).notification[0].update
    assert update.val.double_val == 1000.0
    [update] = (
        client.get("lines-per-second", prefix=path("/coordinator/settings/channel")).notification[0].update
    )
    assert text_format.MessageToString(update.path) == text_format.MessageToString(path(LINES_PER_SECOND))
    value_types = {
        leaf_update.path.elem[-1].name: leaf_update.val.WhichOneof("value")
        for leaf_update in client.get("/coordinator/state", encoding=pb.PROTO).notification[0].update
    }
    assert (value_types["named"], value_types["index"], value_types["let-in"], value_types["phase"]) == (
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
        (pb.GetRequest(path=[path(LINES_PER_SECOND)], encoding=pb.ASCII), "UNIMPLEMENTED"),
        (pb.GetRequest(path=[pb.Path(origin="openconfig")]), "INVALID_ARGUMENT"),
        (pb.GetRequest(path=[path("/a" * 40)]), "INVALID_ARGUMENT"),
    ],
)
def test_an_invalid_get_fails_with_the_status_of_the_specification(server, request_, code):
    with pytest.raises(grpc.RpcError) as raised:
        server.client().get_(request_, timeout=10)
    assert raised.value.code().name == code and raised.value.details()


def test_a_set_is_one_transaction_of_deletes_replaces_and_updates_in_this_order(server):
    client = server.client()
    assert (
        client.set(
            delete=["/coordinator/settings/drain"],
            replace={"/coordinator/settings/channel": {"lines-per-second": "500.0", "backlog-limit": 900}},
            update={
                "/coordinator/settings/class[name=pay]": {"benefit": "7"},
                LINES_PER_SECOND: pb.TypedValue(double_val=450.0),
            },
        )
        == "ok"
    )
    settings = server.settings()
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
    assert server.settings()["warm_up_time"] == 5000
    assert client.set(replace={"/coordinator/settings/zone": ["n", "s", "t"]}) == "ok"
    assert server.settings()["zones"] == ["n", "s", "t"]
    server.wait_for_log("settings_changed", by="operations", version=2)


@pytest.mark.parametrize(
    "parts, code",
    [
        ({"update": {LINES_PER_SECOND: 0}}, "INVALID_ARGUMENT"),
        ({"update": {LINES_PER_SECOND: "fast"}}, "INVALID_ARGUMENT"),
        ({"update": {"/coordinator/state/name": "x"}}, "INVALID_ARGUMENT"),
        ({"update": {"/coordinator/settings/nope": 1}}, "INVALID_ARGUMENT"),
        ({"update": {"/coordinator/settings/class": {"benefit": 1}}}, "INVALID_ARGUMENT"),
        ({"update": {"/coordinator/settings/cold/share": "0.5"}}, "FAILED_PRECONDITION"),
        ({"update": {"/coordinator/settings/class[name=new]": {}}}, "FAILED_PRECONDITION"),
        ({"delete": ["/coordinator/settings/class[name=pay]"]}, "FAILED_PRECONDITION"),
        ({"update": {LINES_PER_SECOND: pb.TypedValue(json_ietf_val=b"{")}}, "INVALID_ARGUMENT"),
        ({"update": {LINES_PER_SECOND: pb.TypedValue(bytes_val=b"x")}}, "INVALID_ARGUMENT"),
        ({"replace": {"/": {"granitespool:coordinator": {"settings": {}}}}}, "FAILED_PRECONDITION"),
    ],
)
def test_a_rejected_set_changes_nothing(server, parts, code):
    client, before = server.client(), server.settings()
    parts = {**parts, "update": {"/coordinator/settings/drain/grace": 7, **parts.get("update", {})}}
    assert client.set(**parts) == code and client.details
    assert server.settings() == before and client.value("/coordinator/state/version") == 1


def test_users_are_authorized_and_gnmi_and_netconf_cannot_overwrite_each_other(server):
    client, netconf = server.client(), server.manager()
    assert server.client("reader").value(LINES_PER_SECOND) == "1000.0"
    assert server.client("reader").set(update={LINES_PER_SECOND: "5"}) == "PERMISSION_DENIED"
    assert server.client("pacer").set(update={LINES_PER_SECOND: "900"}) == "ok"
    assert server.client("pacer").set(update={"/coordinator/settings/drain/grace": 5}) == "PERMISSION_DENIED"
    assert reply_tag(netconf.edit("<channel><lines-per-second>800</lines-per-second></channel>")) == "ok"
    assert client.set(update={LINES_PER_SECOND: "700"}) == "ok"
    assert "based on version 2 of running" in netconf.commit() and server.settings()["entries_per_s"] == 700
    assert reply_tag(netconf.lock("running")) == "ok"
    assert client.set(update={LINES_PER_SECOND: "600"}) == "ABORTED"
    netconf.reset()
    server.wait_for_log("manager_disconnected")
    assert client.set(update={LINES_PER_SECOND: "600"}) == "ok" and server.settings()["entries_per_s"] == 600
    with pytest.raises(grpc.RpcError):
        server.client("stranger").capabilities(pb.CapabilityRequest(), timeout=2)


def test_a_set_whose_client_disconnects_is_applied_completely_or_not_at_all(server):
    for number in range(8):
        channel = server.client()
        future = channel.set_.future(
            pb.SetRequest(
                update=[
                    pb.Update(path=path(LINES_PER_SECOND), val=pb.TypedValue(uint_val=500 + number)),
                    pb.Update(
                        path=path("/coordinator/settings/drain/grace"),
                        val=pb.TypedValue(uint_val=500 + number),
                    ),
                ]
            )
        )
        time.sleep(0.004 * number)
        server.channels.pop().close()
        del future
        time.sleep(0.1)
        settings = server.settings()
        assert (
            settings["entries_per_s"] == 1000.0 or settings["drain_grace"] == settings["entries_per_s"] * 1000
        )
    assert server.client().set(update={LINES_PER_SECOND: "300"}) == "ok"


def test_once_and_poll_send_all_values_and_the_sync_response(server):
    client = server.client()
    responses = list(
        client.subscribe(
            iter([subscribe_request("/coordinator/state/backend/phase", mode=pb.SubscriptionList.ONCE)])
        )
    )
    assert len(responses[0].update.update) == 6 and responses[-1].sync_response and len(responses) == 2
    polls, gate = [subscribe_request(LINES_PER_SECOND, mode=pb.SubscriptionList.POLL)], threading.Event()

    def requests():
        yield polls[0]
        for _ in range(2):
            gate.wait(5)
            gate.clear()
            yield pb.SubscribeRequest(poll=pb.Poll())

    responses = client.subscribe(requests())
    for value in (1000.0, 400.0, 400.0):
        assert next(responses).update.update[0].val.double_val == value and next(responses).sync_response
        client.set(update={LINES_PER_SECOND: "400"})
        gate.set()
    assert list(responses) == []


def test_a_stream_sends_changes_and_deletions(server):
    client = server.client()
    stream = client.subscribe(
        iter([subscribe_request("/coordinator/settings/channel", "/coordinator/state/backend/phase")])
    )
    responses = []
    while not responses or not responses[-1].sync_response:
        responses.append(next(stream))
    assert sum(len(response.update.update) for response in responses) >= 7
    assert (
        client.set(update={LINES_PER_SECOND: "450"}, delete=["/coordinator/settings/channel/messages-limit"])
        == "ok"
    )
    notification = next(stream).update
    assert [leaf_update.val.double_val for leaf_update in notification.update] == [450.0]
    assert client.set(delete=["/coordinator/settings/channel/message-head"]) == "ok"
    notification = next(stream).update
    assert [deleted.elem[-1].name for deleted in notification.delete] == [
        "message-head"
    ] and not notification.update
    stream.cancel()


def test_samples_are_periodic_and_heartbeats_repeat_suppressed_values(server):
    client = server.client()
    stream = client.subscribe(
        iter(
            [
                subscribe_request(
                    "/coordinator/state/fleet/strained",
                    subscription_mode=pb.SAMPLE,
                    updates_only=True,
                    sample_interval=300_000_000,
                )
            ]
        )
    )
    assert next(stream).sync_response
    started_at = time.monotonic()
    for _ in range(3):
        assert next(stream).update.update[0].val.bool_val is False
    assert 0.6 < time.monotonic() - started_at < 2.5
    stream.cancel()
    stream = client.subscribe(
        iter(
            [
                subscribe_request(
                    "/coordinator/state/fleet/strained",
                    subscription_mode=pb.SAMPLE,
                    updates_only=True,
                    sample_interval=250_000_000,
                    suppress_redundant=True,
                    heartbeat_interval=1_000_000_000,
                )
            ]
        )
    )
    assert next(stream).sync_response
    started_at = time.monotonic()
    assert next(stream).update.update and time.monotonic() - started_at > 0.7
    stream.cancel()


@pytest.mark.parametrize(
    "request_, code",
    [
        (pb.SubscribeRequest(), "INVALID_ARGUMENT"),
        (subscribe_request("/nothing"), "INVALID_ARGUMENT"),
        (subscribe_request(*[LINES_PER_SECOND] * 65), "RESOURCE_EXHAUSTED"),
        (subscribe_request(LINES_PER_SECOND, encoding=pb.BYTES), "UNIMPLEMENTED"),
        (
            subscribe_request(LINES_PER_SECOND, subscription_mode=pb.SAMPLE, sample_interval=5),
            "INVALID_ARGUMENT",
        ),
    ],
)
def test_an_invalid_subscription_is_rejected(server, request_, code):
    with pytest.raises(grpc.RpcError) as raised:
        list(server.client().subscribe(iter([request_])))
    assert raised.value.code().name == code


def test_deadlines_cancellation_and_unknown_methods(server):
    client = server.client()
    with pytest.raises(grpc.RpcError) as raised:
        for _ in client.subscribe(iter([subscribe_request(LINES_PER_SECOND)]), timeout=0.5):
            pass
    assert raised.value.code().name == "DEADLINE_EXCEEDED"
    stream = client.subscribe(iter([subscribe_request(LINES_PER_SECOND)]))
    next(stream)
    stream.cancel()
    channel = server.channels[0]
    for name, code in (("/gnmi.gNMI/Nothing", "UNIMPLEMENTED"), ("/other.Service/Get", "UNIMPLEMENTED")):
        with pytest.raises(grpc.RpcError) as raised:
            channel.unary_unary(name)(b"", timeout=5)
        assert raised.value.code().name == code
    with pytest.raises(grpc.RpcError) as raised:
        channel.unary_unary("/gnmi.gNMI/Get")(b"\xff\xff\xff", timeout=5)
    assert raised.value.code().name == "INVALID_ARGUMENT"
    session = next(iter(server.service.management.sessions.values()))
    end = time.monotonic() + 3
    while session.calls.open and time.monotonic() < end:
        time.sleep(0.01)
    assert not session.calls.open and not session.http2.queued


class RawHttp2Client:
    """An HTTP/2 client for arbitrary frames, with h2 on a blocking TLS socket."""

    def __init__(self, server, keys_folder):
        context = client_context(keys_folder, "operations")
        context.set_alpn_protocols(["h2"])
        self.sock = context.wrap_socket(
            socket.create_connection(server.gnmi_address, timeout=5), server_hostname="127.0.0.1"
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

    def wait_for_event(self, event_type, seconds=5):
        """Return the first event of a type; raise ConnectionError if the connection ends before."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for event in self.events:
                if isinstance(event, event_type):
                    self.events.remove(event)
                    return event
            try:
                data = self.sock.recv(1 << 16)
            except ssl.SSLError as error:
                raise ConnectionError from error
            if not data:
                raise ConnectionError
            self.events += self.h2.receive_data(data)
        raise AssertionError((event_type, self.events))


def framed(message):
    data = message.SerializeToString()
    return b"\0" + len(data).to_bytes(4, "big") + data


def send_flood(raw, behaviour):
    """Send one kind of abuse, for which the server ends the connection."""
    if behaviour == "rapid resets":
        for _ in range(MAX_COSTLY_FRAMES + 20):
            raw.h2.reset_stream(raw.call())
    elif behaviour == "settings":
        raw.flush()
        raw.sock.sendall(b"\0\0\0\4\0\0\0\0\0" * (MAX_COSTLY_FRAMES + 20))
    elif behaviour == "pings":
        for number in range(MAX_COSTLY_FRAMES + 20):
            raw.h2.ping(number.to_bytes(8, "big"))
    elif behaviour == "headers":
        raw.call(headers=[("x-large", "y" * 20_000)])
    elif behaviour == "hpack":
        raw.call(headers=[("x-large", "y" * 3_000)] * 400)
    elif behaviour == "no http2":
        raw.sock.sendall(b"\xff" * 200)
    raw.flush()


@pytest.mark.parametrize("behaviour", ["rapid resets", "settings", "pings", "headers", "hpack", "no http2"])
def test_a_flood_ends_its_connection_without_effect_on_others(server, keys_folder, behaviour):
    proxy, client, raw = server.proxy(), server.client(), RawHttp2Client(server, keys_folder)
    with pytest.raises(ConnectionError):
        send_flood(raw, behaviour)
        event = raw.wait_for_event(ConnectionTerminated)
        raise ConnectionError(str(event))
    assert client.value(LINES_PER_SECOND) == "1000.0" and answers_ping(proxy)
    proxy.close()


# Guards against calls that are performed although their client cancelled them before they were begun
def test_a_set_that_is_cancelled_before_it_was_begun_changes_nothing(server, keys_folder):
    raw, before = RawHttp2Client(server, keys_folder), server.settings()["entries_per_s"]
    value = pb.Update(path=path(LINES_PER_SECOND), val=pb.TypedValue(uint_val=600))
    for _ in range(3):
        stream = raw.call("Set")
        raw.h2.send_data(stream, framed(pb.SetRequest(update=[value])), end_stream=True)
        raw.h2.reset_stream(stream)
    raw.flush()
    raw.h2.ping(b"12345678")
    raw.flush()
    raw.wait_for_event(PingAckReceived)
    time.sleep(0.2)
    assert server.settings()["entries_per_s"] == before
    assert server.client().set(update={LINES_PER_SECOND: "300"}) == "ok"


@pytest.mark.parametrize(
    "data, code",
    [
        (b"\1\0\0\0\1x", StatusCode.UNIMPLEMENTED),
        (b"\0\x7f\xff\xff\xff", StatusCode.RESOURCE_EXHAUSTED),
        (framed(pb.Poll()) * 100, StatusCode.RESOURCE_EXHAUSTED),
    ],
)
def test_bodies_over_the_limits_fail_with_a_status(server, keys_folder, data, code):
    raw = RawHttp2Client(server, keys_folder)
    stream = raw.call()
    raw.h2.send_data(stream, data)
    raw.flush()
    event = raw.wait_for_event(ResponseReceived)
    headers = {key.decode() if isinstance(key, bytes) else key: value for key, value in event.headers}
    status = headers["grpc-status"]
    assert int(status) == code


def test_a_stalled_message_fails_at_its_deadline_and_a_stalled_reader_delays_no_other_client(
    server, keys_folder
):
    raw, client = RawHttp2Client(server, keys_folder), server.client()
    stream = raw.call(headers=[("grpc-timeout", "500m")])
    raw.h2.send_data(stream, framed(subscribe_request(LINES_PER_SECOND))[:-4])
    raw.flush()
    headers = {
        key.decode() if isinstance(key, bytes) else key: value
        for key, value in raw.wait_for_event(ResponseReceived).headers
    }
    assert int(headers["grpc-status"]) == StatusCode.DEADLINE_EXCEEDED
    stalled = RawHttp2Client(server, keys_folder)
    for _ in range(8):  # samples of the whole state; the client never extends its flow control windows
        stream_id = stalled.call()
        stalled.h2.send_data(
            stream_id,
            framed(
                subscribe_request("/coordinator", subscription_mode=pb.SAMPLE, sample_interval=250_000_000)
            ),
        )
    stalled.flush()
    started_at = time.monotonic()
    while time.monotonic() - started_at < 1.5:
        requested_at = time.monotonic()
        assert client.value(LINES_PER_SECOND) == "1000.0"
        assert time.monotonic() - requested_at < 0.5
    for session in list(server.service.management.sessions.values()):
        assert all(len(queue) < 300_000 for queue in session.http2.queued.values())
    for _ in range(40):
        stalled.call()  # more than the maximum number of streams
    with pytest.raises(Exception):  # noqa: B017 the server resets the stream or ends the connection
        stalled.flush()
        stalled.wait_for_event((StreamReset, ConnectionTerminated))
        raise RuntimeError


def test_a_shutdown_sends_goaway(tmp_path, keys_folder):
    server = GnmiServiceThread(tmp_path, keys_folder)
    with server:
        raw = RawHttp2Client(server, keys_folder)
        raw.call()
        raw.flush()
        end = time.monotonic() + 3
        while not server.service.management.sessions and time.monotonic() < end:
            time.sleep(0.01)
        connections_limit = server.service.streams.admission.connections_limit
        assert connections_limit == server.read()["connections"] - (8 + 4 + 1) - (6 + 3 + 1)
    assert raw.wait_for_event(ConnectionTerminated).error_code == 0


def test_a_request_that_is_not_grpc_gets_status_415_and_the_connection_continues(server, keys_folder):
    raw = RawHttp2Client(server, keys_folder)
    stream = raw.h2.get_next_available_stream_id()
    raw.h2.send_headers(
        stream,
        [(":method", "GET"), (":scheme", "https"), (":path", "/"), (":authority", "x")],
        end_stream=True,
    )
    raw.flush()
    headers = dict(raw.wait_for_event(ResponseReceived).headers)
    assert headers.get(b":status", headers.get(":status")) in (b"415", "415")
    second_stream = raw.call("Capabilities")
    raw.h2.send_data(second_stream, framed(pb.CapabilityRequest()), end_stream=True)
    raw.flush()
    assert raw.wait_for_event(DataReceived).data


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
