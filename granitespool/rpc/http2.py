"""One HTTP/2 connection, the server's side, over any bytes: h2 does the protocol, this module its limits.

The owner gives `received(bytes)`, sends what `outgoing()` returns, and is called back as a StreamHandler.
Bytes for a stream wait in its own queue until the client's windows allow them: a client that stops to read
holds up itself alone, and whoever fills the queue asks `has_room` before. Frames that cost only the server
(resets, settings, pings, empty data) are counted, and a flood of them ends the connection."""

from collections.abc import Iterable, Mapping
from typing import Protocol, TypeAlias

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import (
    ConnectionTerminated,
    DataReceived,
    Event,
    PingReceived,
    PriorityUpdated,
    RemoteSettingsChanged,
    RequestReceived,
    StreamEnded,
    StreamReset,
    WindowUpdated,
)
from h2.exceptions import H2Error
from h2.settings import SettingCodes

from granitespool.rpc.errors import Http2Error
from granitespool.units import SECOND

Headers: TypeAlias = Mapping[str, str]
HeaderFields: TypeAlias = Iterable[tuple[str, str]]

MAX_STREAMS = 64  # of a connection at once
MAX_HEADER_BYTES = 8 * 1024  # of a request's headers: a call takes a twentieth
RECEIVE_WINDOW = 256 * 1024  # bytes that a stream, and a connection, may send before they are taken
MAX_STEP_BYTES = 64 * 1024  # put into frames in one step, of all streams: under a millisecond with TLS
QUEUE_HIGH_WATER = 64 * 1024  # bytes that wait for a stream above which nobody should add to them
MAX_FRAME_BYTES = 16_384  # of a frame's body that a client may send: the protocol's default
FRAME_HEADER_BYTES = 9
PREFACE_BYTES = 24  # what a client begins a connection with
MAX_COSTLY_FRAMES = 200  # resets, settings, pings, priorities, empty data of a client in one second
COSTLY_EVENTS = (StreamReset, RemoteSettingsChanged, PingReceived, PriorityUpdated)


class StreamHandler(Protocol):
    """Receives what happens to the streams of a connection."""

    def on_request(self, stream: int, headers: Headers) -> None:
        """A request has begun."""

    def on_data(self, stream: int, data: bytes) -> None:
        """Bytes of a request's body came."""

    def on_end(self, stream: int) -> None:
        """A request's body is complete."""

    def on_reset(self, stream: int) -> None:
        """The client has cancelled a request."""


class Http2Connection:
    """A connection: `ready` is whether `step` may have something to do, `queued` are bytes by stream."""

    def __init__(self, streams: StreamHandler, max_streams: int = MAX_STREAMS) -> None:
        self.streams = streams
        self.h2 = H2Connection(H2Configuration(client_side=False, header_encoding="utf-8"))
        self.h2.local_settings.update(
            {
                SettingCodes.MAX_CONCURRENT_STREAMS: max_streams,
                SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_BYTES,
                SettingCodes.INITIAL_WINDOW_SIZE: RECEIVE_WINDOW,
                SettingCodes.ENABLE_PUSH: 0,
            }
        )
        self.h2.decoder.max_header_list_size = MAX_HEADER_BYTES  # also before the client knows of it
        self.queued: dict[int, bytearray] = {}
        self.can_send = False
        self._trailers: dict[int, HeaderFields] = {}  # by stream: headers that follow the queued bytes
        self._leaving = False
        self._costly_frames = 0  # in the second of `_costly_second`
        self._costly_second = 0
        self._frame_header = b""  # the part of the next frame's header that came
        self._bytes_before_header = PREFACE_BYTES

    def start(self) -> None:
        """Sends the server's preface."""
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(RECEIVE_WINDOW)

    # What the client sends

    def receive(self, data: bytes, now: int) -> None:
        """Takes bytes of the client; `now` in ns.

        Raises:
            Http2Error: they are no HTTP/2, or too much of what costs only the server.
        """
        self._check_frame_sizes(data)
        try:
            events = self.h2.receive_data(data)
        except H2Error as error:
            reason = f"it is no HTTP/2 that we take: {str(error) or type(error).__name__:.100}"
            raise Http2Error(reason) from None
        for event in events:
            if _is_costly(event):
                self._count_costly_frame(now)
            self._handle(event)

    def _check_frame_sizes(self, data: bytes) -> None:
        """Rejects frames over the limit at their headers: h2 would buffer all of them before it does."""
        self._frame_header += data[self._bytes_before_header :]
        self._bytes_before_header -= min(self._bytes_before_header, len(data))
        while len(self._frame_header) >= FRAME_HEADER_BYTES and not self._bytes_before_header:
            size = int.from_bytes(self._frame_header[:3], "big")
            if size > MAX_FRAME_BYTES:
                self.h2.close_connection(ErrorCodes.FRAME_SIZE_ERROR)
                reason = f"a frame of {size} bytes is over {MAX_FRAME_BYTES}"
                raise Http2Error(reason)
            frame_end = FRAME_HEADER_BYTES + size
            self._bytes_before_header = max(0, frame_end - len(self._frame_header))
            self._frame_header = self._frame_header[frame_end:]

    def _count_costly_frame(self, now: int) -> None:
        second = now // SECOND
        if second != self._costly_second:
            self._costly_second = second
            self._costly_frames = 0
        self._costly_frames += 1
        if self._costly_frames > MAX_COSTLY_FRAMES:
            self.h2.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
            reason = f"over {MAX_COSTLY_FRAMES} resets, settings or pings in a second"
            raise Http2Error(reason)

    def _handle(self, event: Event) -> None:
        if isinstance(event, RequestReceived):
            self.streams.on_request(event.stream_id, dict(event.headers))  # type: ignore[arg-type]  # text
        elif isinstance(event, DataReceived):
            self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            if event.data:
                self.streams.on_data(event.stream_id, event.data)
        elif isinstance(event, StreamEnded):
            self.streams.on_end(event.stream_id)
        elif isinstance(event, StreamReset):
            self._forget(event.stream_id)
            self.streams.on_reset(event.stream_id)
        elif isinstance(event, WindowUpdated):
            self.can_send = bool(self.queued)
        elif isinstance(event, ConnectionTerminated):
            reason = "the client went away"
            raise Http2Error(reason)

    # What the owner of a stream sends

    def send_headers(self, stream: int, headers: HeaderFields, end: bool = False) -> None:
        """Sends headers at once; `end`: nothing follows them."""
        if self._is_open(stream):
            self.h2.send_headers(stream, headers, end_stream=end)

    def send(self, stream: int, data: bytes) -> None:
        """Queues bytes of a response's body."""
        if self._is_open(stream):
            self.queued.setdefault(stream, bytearray()).extend(data)
            self.can_send = True

    def finish(self, stream: int, trailers: HeaderFields) -> None:
        """These headers end the stream once all that waits for it has gone."""
        if self._is_open(stream):
            self._trailers[stream] = trailers
            self.can_send = True

    def reset(self, stream: int, code: ErrorCodes = ErrorCodes.NO_ERROR) -> None:
        """Ends a stream at once."""
        if self._is_open(stream):
            self.h2.reset_stream(stream, code)
        self._forget(stream)

    def has_room(self, stream: int) -> bool:
        """Whether more may be queued for a stream."""
        return len(self.queued.get(stream, b"")) < QUEUE_HIGH_WATER

    def send_goaway(self) -> None:
        """Sends a notice to go away: open streams are finished, new ones are not taken."""
        if not self._leaving:
            self._leaving = True
            self.h2.close_connection(ErrorCodes.NO_ERROR)

    def outgoing(self) -> bytes:
        """Bytes that are to go to the client."""
        return self.h2.data_to_send()

    def _is_open(self, stream: int) -> bool:
        known = self.h2.streams.get(stream)
        return known is not None and not known.closed

    def _forget(self, stream: int) -> None:
        self.queued.pop(stream, None)
        self._trailers.pop(stream, None)

    def step(self) -> None:
        """Puts some of what waits into frames, as the windows allow, one stream after the other."""
        self.can_send = False
        bytes_left = MAX_STEP_BYTES
        for stream in [*{**self.queued, **self._trailers}]:
            if not self._is_open(stream):
                self._forget(stream)
                continue
            bytes_left = self._send_queued(stream, bytes_left)
            if self.can_send:
                return
            if not self.queued.get(stream):
                self.queued.pop(stream, None)
                if stream in self._trailers:
                    self.h2.send_headers(stream, self._trailers.pop(stream), end_stream=True)

    def _send_queued(self, stream: int, bytes_left: int) -> int:
        """Sends of one stream's queue what may go; gives the rest of the step's bytes.

        Where these are used up, the stream goes to the end of the order, and `ready` is set for another
        step."""
        data = self.queued.get(stream, bytearray())
        while data:
            window = self.h2.local_flow_control_window(stream)
            size = min(len(data), window, self.h2.max_outbound_frame_size)
            if size <= 0:
                break
            if bytes_left <= 0:
                self.queued[stream] = self.queued.pop(stream)
                self.can_send = True
                break
            self.h2.send_data(stream, bytes(data[:size]))
            del data[:size]
            bytes_left -= size
        return bytes_left


def _is_costly(event: Event) -> bool:
    """Whether a frame costs the server something and the client next to nothing."""
    if isinstance(event, DataReceived):
        return not event.data and event.stream_ended is None
    return isinstance(event, COSTLY_EVENTS)
