"""A NETCONF client over TLS that can also misbehave, on a blocking socket.

For tests and measurements on loopback; it checks nothing of what the server says beyond what it needs to go
on."""

import re
import socket
import ssl
import struct

from granitespool.errors import GranitespoolError
from granitespool.netconf.framing import MessageReader, frame

MESSAGE_LIMIT = 256 << 20  # bytes of an answer that are taken: the whole state of a large fleet
READ_SIZE = 1 << 16
NAMESPACE = "urn:granitespool:coordinator"
BASE = "urn:ietf:params:xml:ns:netconf:base:1.0"
HELLO = (
    f'<hello xmlns="{BASE}"><capabilities><capability>urn:ietf:params:netconf:base:1.{{}}</capability>'
    "</capabilities></hello>"
)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 s


class ConnectionEndedError(GranitespoolError):
    """The server ended the connection."""


def client_context(folder: str, user: str | None) -> ssl.SSLContext:
    """A client's context of the files that `granitespool keys make` wrote; None: without a certificate."""
    context = ssl.create_default_context(cafile=f"{folder}/ca.pem")
    if user is not None:
        context.load_cert_chain(f"{folder}/{user}.pem", f"{folder}/{user}.key")
    return context


class NetconfClient:
    """One session; `minor` is the base version 1.`minor` that it speaks."""

    def __init__(
        self,
        address: tuple[str, int],
        folder: str,
        user: str | None = "operations",
        minor: int = 1,
        greet: bool = True,
        timeout: float = 10,
    ) -> None:
        """Connects with a user's keys from a folder, and says hello if `greet`; `timeout` in s."""
        self.sock = socket.create_connection(address, timeout=timeout)
        try:
            self.tls = client_context(folder, user).wrap_socket(self.sock, server_hostname=address[0])
        except BaseException:
            self.sock.close()
            raise
        self.reader = MessageReader(MESSAGE_LIMIT)
        self.message_id = 0  # of the last rpc
        self.notes: list[str] = []  # notifications that came before an answer
        self.hello = ""  # the server's
        self._received: list[str] = []  # messages that nobody has taken yet
        if greet:
            self.hello = self.receive()
            self.raw(frame(HELLO.format(minor).encode(), False))
            self.reader.chunked = bool(minor)

    # Messages

    def raw(self, data: bytes) -> None:
        """Sends bytes as they are. Raises ConnectionEndedError."""
        try:
            self.tls.sendall(data)
        except (ConnectionError, ssl.SSLError) as error:
            raise ConnectionEndedError(str(error)) from None

    def receive(self) -> str:
        """The next message. Raises ConnectionEndedError."""
        while not self._received:
            self.reader.feed(self._read())
            self._received += [message.decode() for message in self.reader.messages()]
        return self._received.pop(0)

    def _read(self) -> bytes:
        try:
            data = self.tls.recv(READ_SIZE)
        except (ConnectionError, ssl.SSLError) as error:
            raise ConnectionEndedError(str(error)) from None
        if not data:
            raise ConnectionEndedError("closed")
        return data

    def send(self, body: str, attributes: str | None = None) -> None:
        """An rpc without waiting for its answer; `attributes` in place of its message id."""
        self.message_id += 1
        attributes = f'message-id="{self.message_id}"' if attributes is None else attributes
        rpc = f'<rpc {attributes} xmlns="{BASE}">{body}</rpc>'
        self.raw(frame(rpc.encode(), self.reader.chunked))

    def ask(self, body: str, attributes: str | None = None) -> str:
        """An rpc's answer; notifications before it stay in `notes`."""
        self.send(body, attributes)
        while True:
            message = self.receive()
            if "<notification" not in message:
                return message
            self.notes.append(message)

    def note(self, name: str) -> str:
        """Waits for a notification of this name."""
        while True:
            message = self.notes.pop(0) if self.notes else self.receive()
            if f"<{name} " in message:
                return message

    # Usual requests

    def edit(self, settings: str, store: str = "candidate", more: str = "") -> str:
        """The answer to an edit-config of a datastore; `more`: further elements of the rpc."""
        target = f"<target><{store}/></target>"
        return self.ask(f"<edit-config>{target}{more}<config>{top(settings)}</config></edit-config>")

    def commit(self, more: str = "") -> str:
        """The answer to a commit."""
        return self.ask(f"<commit>{more}</commit>")

    def config(self, store: str = "running", more: str = "") -> str:
        """The text of a datastore's settings element; "" where it has none."""
        answer = self.ask(f"<get-config><source><{store}/></source>{more}</get-config>")
        found = re.search(r"<settings>(.*)</settings>", answer, re.DOTALL)
        return found[1] if found else ""

    def lock(self, store: str = "candidate", verb: str = "lock") -> str:
        """The answer to a lock, or an unlock, of a datastore."""
        return self.ask(f"<{verb}><target><{store}/></target></{verb}>")

    # The end

    def close(self) -> None:
        """Ends the connection."""
        self.sock.close()
        self.tls.close()

    def reset(self) -> None:
        """Ends the connection by a reset, whatever is under way."""
        self.tls.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.tls.close()


def top(settings: str) -> str:
    """The coordinator element around elements of its settings."""
    return f'<coordinator xmlns="{NAMESPACE}"><settings>{settings}</settings></coordinator>'


def reply_tag(answer: str) -> str:
    """An answer's error tag, "ok" where there is none."""
    found = re.search(r"<error-tag>([^<]*)<", answer)
    return found[1] if found else "ok"
