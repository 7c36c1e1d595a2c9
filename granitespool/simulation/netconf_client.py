"""A NETCONF client over TLS on a blocking socket, which can also violate the protocol.

It is made for tests and benches on loopback, and does not validate the server's messages.
"""

import re
import socket
import ssl
import struct

from granitespool.errors import GranitespoolError
from granitespool.netconf.framing import MessageReader, frame

MAX_MESSAGE_BYTES = 256 << 20  # fits the whole operational state of a large fleet
READ_BYTES = 1 << 16
NAMESPACE = "urn:granitespool:coordinator"
BASE = "urn:ietf:params:xml:ns:netconf:base:1.0"
HELLO = (
    f'<hello xmlns="{BASE}"><capabilities><capability>urn:ietf:params:netconf:base:1.{{}}</capability>'
    "</capabilities></hello>"
)
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with 0 s, so that closing sends a TCP reset


class ConnectionEndedError(GranitespoolError):
    """The server closed the connection, or the connection failed."""


def client_context(folder: str, user: str | None) -> ssl.SSLContext:
    """Return a client context with the files that `granitespool keys make` wrote to a folder.

    If `user` is None, the client has no certificate.
    """
    context = ssl.create_default_context(cafile=f"{folder}/ca.pem")
    if user is not None:
        context.load_cert_chain(f"{folder}/{user}.pem", f"{folder}/{user}.key")
    return context


class NetconfClient:
    """A NETCONF session."""

    def __init__(
        self,
        address: tuple[str, int],
        folder: str,
        user: str | None = "operations",
        minor: int = 1,
        send_hello: bool = True,
        timeout: float = 10,
    ) -> None:
        """Connect with a user's keys from a folder, and exchange hellos if `send_hello`.

        The session uses base version 1.`minor`; `timeout` is the timeout of the socket in seconds.
        """
        self.sock = socket.create_connection(address, timeout=timeout)
        try:
            self.tls = client_context(folder, user).wrap_socket(self.sock, server_hostname=address[0])
        except BaseException:
            self.sock.close()
            raise
        self.reader = MessageReader(MAX_MESSAGE_BYTES)
        self.message_id = 0  # of the last rpc sent
        self.notifications: list[str] = []  # received while waiting for a reply
        self.hello = ""  # the server's hello
        self._received: list[str] = []  # messages that `receive` has not returned yet
        if send_hello:
            self.hello = self.receive()
            self.send_raw(frame(HELLO.format(minor).encode(), False))
            self.reader.chunked = bool(minor)

    # Messages

    def send_raw(self, data: bytes) -> None:
        """Send bytes without framing. Raise ConnectionEndedError if the connection is closed."""
        try:
            self.tls.sendall(data)
        except (ConnectionError, ssl.SSLError) as error:
            raise ConnectionEndedError(str(error)) from None

    def receive(self) -> str:
        """Return the next message. Raise ConnectionEndedError if the connection is closed."""
        while not self._received:
            self.reader.feed(self._read())
            self._received += [message.decode() for message in self.reader.messages()]
        return self._received.pop(0)

    def _read(self) -> bytes:
        try:
            data = self.tls.recv(READ_BYTES)
        except (ConnectionError, ssl.SSLError) as error:
            raise ConnectionEndedError(str(error)) from None
        if not data:
            raise ConnectionEndedError("the server closed the connection")
        return data

    def send(self, body: str, attributes: str | None = None) -> None:
        """Send an rpc without waiting for the reply; `attributes` replace its message-id attribute."""
        self.message_id += 1
        attributes = f'message-id="{self.message_id}"' if attributes is None else attributes
        rpc = f'<rpc {attributes} xmlns="{BASE}">{body}</rpc>'
        self.send_raw(frame(rpc.encode(), self.reader.chunked))

    def rpc(self, body: str, attributes: str | None = None) -> str:
        """Send an rpc and return its reply; notifications received before it are added to `notifications`."""
        self.send(body, attributes)
        while True:
            message = self.receive()
            if "<notification" not in message:
                return message
            self.notifications.append(message)

    def receive_notification(self, name: str) -> str:
        """Return the next notification with this name. Messages received before it are discarded."""
        while True:
            message = self.notifications.pop(0) if self.notifications else self.receive()
            if f"<{name} " in message:
                return message

    # Common operations

    def edit(self, settings: str, datastore: str = "candidate", options: str = "") -> str:
        """Send an edit-config and return the reply; `options` are further elements of the operation."""
        target = f"<target><{datastore}/></target>"
        return self.rpc(
            f"<edit-config>{target}{options}<config>{settings_element(settings)}</config></edit-config>"
        )

    def commit(self, options: str = "") -> str:
        """Send a commit and return the reply; `options` are its child elements."""
        return self.rpc(f"<commit>{options}</commit>")

    def config(self, datastore: str = "running", options: str = "") -> str:
        """Return the content of a datastore's settings element, or "" if there is none."""
        reply = self.rpc(f"<get-config><source><{datastore}/></source>{options}</get-config>")
        match = re.search(r"<settings>(.*)</settings>", reply, re.DOTALL)
        return match[1] if match else ""

    def lock(self, datastore: str = "candidate", operation: str = "lock") -> str:
        """Lock or unlock a datastore and return the reply."""
        return self.rpc(f"<{operation}><target><{datastore}/></target></{operation}>")

    # End of the connection

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()
        self.tls.close()

    def reset(self) -> None:
        """Close the connection with a TCP reset, discarding unsent data."""
        self.tls.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.tls.close()


def settings_element(settings: str) -> str:
    """Return the coordinator element with the given elements of its settings."""
    return f'<coordinator xmlns="{NAMESPACE}"><settings>{settings}</settings></coordinator>'


def reply_tag(reply: str) -> str:
    """Return the error tag of a reply, or "ok" if there is none."""
    match = re.search(r"<error-tag>([^<]*)<", reply)
    return match[1] if match else "ok"
