"""One HTTP/2 connection, the server's side, over any bytes; h2 does the protocol, this file its bounds.

The owner gives `received(bytes)`, takes what `outgoing()` returns, and is called back as
`streams.opened(stream, headers)`, `streams.data(stream, bytes)`, `streams.ended(stream)` and
`streams.reset(stream)`.

Against a reader that stops: bytes for a stream wait in its own queue, bounded by who makes them (`room`).
Against rapid resets, floods of settings, pings and empty frames: so many in a second, then the connection
ends."""

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import (
    ConnectionTerminated,
    DataReceived,
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

STREAMS_MOST = 64  # streams of a connection at once
HEADERS_MOST = 8 * 1024  # bytes of a request's headers: a call takes a twentieth
WINDOW = 256 * 1024  # bytes that a stream, and a connection, may send before we have taken them
STEP_BYTES = 64 * 1024  # bytes put into frames in one step, of all streams: under a millisecond with TLS
QUEUED_HIGH = 64 * 1024  # bytes that wait for a stream above which nobody should add to them
FRAME_MOST = 16_384  # bytes of a frame's body that a client may send: the protocol's usual
FRAME_HEAD, PREFACE = 9, 24  # bytes of a frame's head, and of a client's first words
FLOOD_MOST = 200  # resets, settings, pings, priorities, empty frames of a peer in one second
SECOND = 1_000_000_000  # ns


class Broken(Exception):
    """The connection cannot go on; the text says why. `outgoing` holds the last words."""


class Http2:
    def __init__(self, streams, streams_most=STREAMS_MOST):
        self.streams = streams
        self.h2 = H2Connection(H2Configuration(client_side=False, header_encoding="utf-8"))
        self.h2.local_settings.update(
            {
                SettingCodes.MAX_CONCURRENT_STREAMS: streams_most,
                SettingCodes.MAX_HEADER_LIST_SIZE: HEADERS_MOST,
                SettingCodes.INITIAL_WINDOW_SIZE: WINDOW,
                SettingCodes.ENABLE_PUSH: 0,
            }
        )
        self.h2.decoder.max_header_list_size = HEADERS_MOST  # also before the client has heard of it
        self.queued, self.trailers = {}, {}  # stream -> bytes that wait; headers that follow them
        self.second, self.flood, self.leaving = 0, 0, False
        self.ready = False  # whether `step` may have something to do
        self.head, self.skip = b"", PREFACE  # of the next frame; bytes before it

    def begin(self):
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(WINDOW)

    def _check_lengths(self, data):
        """Against frames over our largest, which the library would buffer whole before it refuses them."""
        self.head += data[self.skip :]
        self.skip -= min(self.skip, len(data))
        while len(self.head) >= FRAME_HEAD and not self.skip:
            length = int.from_bytes(self.head[:3], "big")
            if length > FRAME_MOST:
                self.h2.close_connection(ErrorCodes.FRAME_SIZE_ERROR)
                raise Broken(f"a frame of {length} bytes is over {FRAME_MOST}")
            rest = len(self.head) - FRAME_HEAD - length
            self.skip, self.head = max(0, -rest), self.head[FRAME_HEAD + length :]

    def received(self, data, now):
        """Bytes of the peer; ends in Broken where they are no HTTP/2, or too much of what costs only us."""
        self._check_lengths(data)
        try:
            events = self.h2.receive_data(data)
        except H2Error as error:
            raise Broken(f"it is no HTTP/2 that we take: {str(error) or type(error).__name__:.100}") from None
        for event in events:
            if (
                isinstance(event, (StreamReset, RemoteSettingsChanged, PingReceived, PriorityUpdated))
                or isinstance(event, DataReceived)
                and not event.data
                and event.stream_ended is None
            ):
                self._count(now)
            self._event(event)

    def _count(self, now):
        if now // SECOND != self.second:
            self.second, self.flood = now // SECOND, 0
        self.flood += 1
        if self.flood > FLOOD_MOST:
            self.h2.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
            raise Broken(f"over {FLOOD_MOST} resets, settings or pings in a second")

    def _event(self, event):
        if isinstance(event, RequestReceived):
            self.streams.opened(event.stream_id, dict(event.headers))
        elif isinstance(event, DataReceived):
            self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            if event.data:
                self.streams.data(event.stream_id, event.data)
        elif isinstance(event, StreamEnded):
            self.streams.ended(event.stream_id)
        elif isinstance(event, StreamReset):
            self._forget(event.stream_id)
            self.streams.reset(event.stream_id)
        elif isinstance(event, WindowUpdated):
            self.ready = bool(self.queued)
        elif isinstance(event, ConnectionTerminated):
            raise Broken("the client went away")

    # What the owner of a stream calls

    def headers(self, stream, headers, end=False):
        if self._open(stream):
            self.h2.send_headers(stream, headers, end_stream=end)

    def send(self, stream, data):
        if self._open(stream):
            self.queued.setdefault(stream, bytearray()).extend(data)
            self.ready = True

    def finish(self, stream, trailers):
        """These headers end the stream once all that waits for it has gone."""
        if self._open(stream):
            self.trailers[stream] = trailers
            self.ready = True

    def reset(self, stream, code=ErrorCodes.NO_ERROR):
        if self._open(stream):
            self.h2.reset_stream(stream, code)
        self._forget(stream)

    def room(self, stream):
        """Whether more may be made for a stream."""
        return len(self.queued.get(stream, b"")) < QUEUED_HIGH

    def leave(self):
        """A notice to go away: streams that are open are finished, new ones are not taken."""
        if not self.leaving:
            self.leaving = True
            self.h2.close_connection(ErrorCodes.NO_ERROR)

    def outgoing(self):
        return self.h2.data_to_send()

    def _open(self, stream):
        held = self.h2.streams.get(stream)
        return held is not None and not held.closed

    def _forget(self, stream):
        self.queued.pop(stream, None)
        self.trailers.pop(stream, None)

    def step(self):
        """Puts some of what waits into frames, as the windows allow, a stream after the other."""
        self.ready, left = False, STEP_BYTES
        for stream in [*{**self.queued, **self.trailers}]:
            if not self._open(stream):
                self._forget(stream)
                continue
            data = self.queued.get(stream, b"")
            while data:
                window = self.h2.local_flow_control_window(stream)
                size = min(len(data), window, self.h2.max_outbound_frame_size)
                if size <= 0:
                    break
                if left <= 0:  # the others first, then on with this one
                    self.queued[stream] = self.queued.pop(stream)
                    self.ready = True
                    return
                self.h2.send_data(stream, bytes(data[:size]))
                del data[:size]
                left -= size
            if not data:
                self.queued.pop(stream, None)
                if stream in self.trailers:
                    self.h2.send_headers(stream, self.trailers.pop(stream), end_stream=True)
