"""One gNMI connection: gRPC calls over HTTP/2 that use the datastores; without a socket or a clock."""

from collections.abc import Mapping
from functools import partial

from granitespool.gnmi.capabilities import capabilities
from granitespool.gnmi.context import CallContext
from granitespool.gnmi.get import get
from granitespool.gnmi.set import set_
from granitespool.gnmi.subscribe import subscribe
from granitespool.management.authorization import User
from granitespool.management.interfaces import ManagementService, Transport
from granitespool.rpc.calls import Calls
from granitespool.rpc.errors import Http2Error
from granitespool.rpc.http2 import MAX_STREAMS, Http2Connection

METHODS = {
    "gnmi.gNMI/Capabilities": capabilities,
    "gnmi.gNMI/Get": get,
    "gnmi.gNMI/Set": set_,
    "gnmi.gNMI/Subscribe": subscribe,
}


class GnmiConnection:
    """One gNMI connection: a management.interfaces.ProtocolSession."""

    subscribed_events = None  # notifications of events are sent by NETCONF only

    def __init__(self, service: ManagementService, user: User, transport: Transport, number: int) -> None:
        self.service = service
        self.user = user
        self.transport = transport
        self.number = number
        context = CallContext(service, user, transport, self)
        methods = {name: partial(method, context) for name, method in METHODS.items()}
        self.calls = Calls(methods, transport.now, service.log_failure, transport.wake)
        self.http2 = Http2Connection(self.calls, transport.listener.streams or MAX_STREAMS)
        self.calls.http2 = self.http2

    @property
    def has_work(self) -> bool:
        """Whether `work` has something to do now."""
        return self.http2.can_send or self.calls.has_work

    @property
    def is_exempt_from_idle_timeout(self) -> bool:
        """Whether the connection is exempt from the idle timeout, because a call is open."""
        return bool(self.calls.open)

    def start(self) -> None:
        """Send the server's connection preface; the TLS handshake is complete."""
        self.http2.start()
        self._flush()

    def receive(self, data: bytes) -> None:
        """Process plain bytes from the client."""
        try:
            self.http2.receive(data, self.transport.now())
        except Http2Error as error:
            self.transport.end(str(error))
        self._flush()

    def work(self) -> None:
        """Do one step: send queued bytes if possible, else resume a call."""
        if self.http2.can_send:
            self.http2.step()
        else:
            self.calls.work()
        self._flush()

    def next_deadline(self) -> int | None:
        """Return the time in ns by which `tick` must be called, None without a timer."""
        return self.calls.next_deadline()

    def tick(self, now: int) -> None:
        """End calls whose deadline has passed, and resume calls whose wait has ended at `now` (ns)."""
        self.calls.tick(now)
        self._flush()

    def announce_shutdown(self) -> None:
        """Send GOAWAY to the client."""
        self.http2.send_goaway()
        self._flush()

    def on_closed(self, _reason: str) -> None:
        """Remove all calls; the connection has ended."""
        self.calls.close()
        self.service.on_session_closed(self)

    def notify(self, name: str, fields: Mapping[str, object], at: str) -> None:
        """Do nothing: gNMI clients subscribe to paths instead of events."""

    def _flush(self) -> None:
        data = self.http2.outgoing()
        if data:
            self.transport.send(data)
