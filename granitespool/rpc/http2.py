"""The server side of one HTTP/2 connection, without a socket: the protocol by h2, with limits.

The owner passes received bytes to `receive`, sends the bytes that `outgoing` returns, and implements
StreamHandler. Bytes for a stream wait in a queue of that stream until the client's flow control windows allow
them. A client that stops reading delays only itself; callers check `has_room` before they fill the queue.
Frames that cost only the server (resets, settings, pings, empty data) are counted, and a flood of them ends
the connection.
"""

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

MAX_STREAMS = 64  # concurrent streams of a connection
MAX_HEADER_BYTES = 8 * 1024  # headers of a request; a usual call has about 400 bytes
RECEIVE_WINDOW = 256 * 1024  # flow control window of a stream, and of a connection, in bytes
MAX_STEP_BYTES = 64 * 1024  # bytes of all streams that one step sends, in under a millisecond with TLS
QUEUE_HIGH_WATER = 64 * 1024  # queued bytes of a stream above which callers should not add more
MAX_FRAME_BYTES = 16_384  # payload of a frame from a client: the default of the protocol
FRAME_HEADER_BYTES = 9
PREFACE_BYTES = 24  # the client's connection preface
MAX_COSTLY_FRAMES = 200  # resets, settings, pings, priorities and empty data frames of a client in one second
COSTLY_EVENTS = (StreamReset, RemoteSettingsChanged, PingReceived, PriorityUpdated)


class StreamHandler(Protocol):
    """A handler of the events of a connection's streams."""

    def on_request(self, stream: int, headers: Headers) -> None:
        """Handle the headers of a new request."""

    def on_data(self, stream: int, data: bytes) -> None:
        """Handle bytes of a request's body."""

    def on_end(self, stream: int) -> None:
        """Handle the end of a request's body."""

    def on_reset(self, stream: int) -> None:
        """Handle the cancellation of a request by the client."""


class Http2Connection:
    """The server side of one HTTP/2 connection.

    `can_send` is whether `step` may have something to do, `queued` maps streams to their queued bytes.
    """

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
        # The limit also holds before the client has received the settings.
        self.h2.decoder.max_header_list_size = MAX_HEADER_BYTES
        self.queued: dict[int, bytearray] = {}
        self.can_send = False
        self._trailers: dict[int, HeaderFields] = {}  # stream -> trailers, sent after the queued bytes
        self._goaway_sent = False
        self._costly_frames = 0  # costly frames received in the second `_costly_second`
        self._costly_second = 0
        self._frame_header = b""  # the received part of the next frame's header
        self._bytes_before_header = PREFACE_BYTES

    def start(self) -> None:
        """Send the server's connection preface."""
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(RECEIVE_WINDOW)

    # Frames from the client

    def receive(self, data: bytes, now: int) -> None:
        """Process bytes from the client; `now` is in ns.

        Raises:
            Http2Error: the bytes violate the protocol or a limit, or the client has closed the connection.
        """
        self._check_frame_sizes(data)
        try:
            events = self.h2.receive_data(data)
        except H2Error as error:
            reason = f"HTTP/2 protocol error: {str(error) or type(error).__name__:.100}"
            raise Http2Error(reason) from None
        for event in events:
            if _is_costly(event):
                self._count_costly_frame(now)
            self._handle(event)

    def _check_frame_sizes(self, data: bytes) -> None:
        """Reject a frame over the size limit by its header alone; h2 would buffer the whole frame first."""
        self._frame_header += data[self._bytes_before_header :]
        self._bytes_before_header -= min(self._bytes_before_header, len(data))
        while len(self._frame_header) >= FRAME_HEADER_BYTES and not self._bytes_before_header:
            size = int.from_bytes(self._frame_header[:3], "big")
            if size > MAX_FRAME_BYTES:
                self.h2.close_connection(ErrorCodes.FRAME_SIZE_ERROR)
                reason = f"a frame of {size} bytes exceeds the limit of {MAX_FRAME_BYTES}"
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
            reason = f"more than {MAX_COSTLY_FRAMES} resets, settings, pings or empty data frames in a second"
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
            self._remove(event.stream_id)
            self.streams.on_reset(event.stream_id)
        elif isinstance(event, WindowUpdated):
            self.can_send = bool(self.queued)
        elif isinstance(event, ConnectionTerminated):
            reason = "the client closed the HTTP/2 connection"
            raise Http2Error(reason)

    # Frames to the client

    def send_headers(self, stream: int, headers: HeaderFields, end: bool = False) -> None:
        """Send headers at once; `end` is whether they end the stream."""
        if self._is_open(stream):
            self.h2.send_headers(stream, headers, end_stream=end)

    def send(self, stream: int, data: bytes) -> None:
        """Queue bytes of a response's body."""
        if self._is_open(stream):
            self.queued.setdefault(stream, bytearray()).extend(data)
            self.can_send = True

    def finish(self, stream: int, trailers: HeaderFields) -> None:
        """End the stream with these trailers once its queued bytes are sent."""
        if self._is_open(stream):
            self._trailers[stream] = trailers
            self.can_send = True

    def reset(self, stream: int, code: ErrorCodes = ErrorCodes.NO_ERROR) -> None:
        """Reset a stream at once."""
        if self._is_open(stream):
            self.h2.reset_stream(stream, code)
        self._remove(stream)

    def has_room(self, stream: int) -> bool:
        """Return whether more bytes may be queued for a stream."""
        return len(self.queued.get(stream, b"")) < QUEUE_HIGH_WATER

    def send_goaway(self) -> None:
        """Send GOAWAY: open streams are finished, new ones are not accepted."""
        if not self._goaway_sent:
            self._goaway_sent = True
            self.h2.close_connection(ErrorCodes.NO_ERROR)

    def outgoing(self) -> bytes:
        """Return the bytes to be sent to the client."""
        return self.h2.data_to_send()

    def _is_open(self, stream: int) -> bool:
        h2_stream = self.h2.streams.get(stream)
        return h2_stream is not None and not h2_stream.closed

    def _remove(self, stream: int) -> None:
        self.queued.pop(stream, None)
        self._trailers.pop(stream, None)

    def step(self) -> None:
        """Send some of the queued bytes, as far as the windows allow, one stream after the other."""
        self.can_send = False
        bytes_left = MAX_STEP_BYTES
        for stream in [*{**self.queued, **self._trailers}]:
            if not self._is_open(stream):
                self._remove(stream)
                continue
            bytes_left = self._send_queued(stream, bytes_left)
            if self.can_send:
                return
            if not self.queued.get(stream):
                self.queued.pop(stream, None)
                if stream in self._trailers:
                    self.h2.send_headers(stream, self._trailers.pop(stream), end_stream=True)

    def _send_queued(self, stream: int, bytes_left: int) -> int:
        """Send queued bytes of one stream, and return how many of the step's bytes are left.

        If none are left, the stream moves to the end of the order, and `can_send` is set for another step.
        """
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
    """Return whether a frame causes work for the server but almost none for the client."""
    if isinstance(event, DataReceived):
        return not event.data and event.stream_ended is None
    return isinstance(event, COSTLY_EVENTS)
