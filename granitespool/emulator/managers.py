"""Stand-in managers: a NETCONF client over TLS that can also misbehave, on a blocking socket.

For tests and measurements on loopback; it checks nothing of what the server says
beyond what it needs to go on."""

import re
import socket
import ssl

from granitespool.netconf.framing import MessageReader, frame

MESSAGE_MOST = 256 << 20  # bytes of an answer that are taken: the whole state of a large fleet
BASE = "urn:ietf:params:xml:ns:netconf:base:1.0"
SPACE = "urn:granitespool:coordinator"
HELLO = (
    f'<hello xmlns="{BASE}"><capabilities><capability>urn:ietf:params:netconf:base:1.{{}}</capability>'
    "</capabilities></hello>"
)


def client_context(folder, user):
    """A client's context of the files that `granitespool keys make` wrote."""
    context = ssl.create_default_context(cafile=f"{folder}/ca.pem")
    if user is not None:
        context.load_cert_chain(f"{folder}/{user}.pem", f"{folder}/{user}.key")
    return context


class Ended(Exception):
    """The server ended the connection."""


class Manager:
    """One session; `minor` is the base version 1.`minor` that it speaks."""

    def __init__(self, where, folder, user="operations", minor=1, greet=True, timeout=10):
        self.sock = socket.create_connection(where, timeout=timeout)
        try:
            self.tls = client_context(folder, user).wrap_socket(self.sock, server_hostname=where[0])
        except BaseException:
            self.sock.close()
            raise
        self.reader, self.number, self.waiting = MessageReader(MESSAGE_MOST), 0, []
        self.hello = ""
        if greet:
            self.hello = self.receive()
            self.raw(frame(HELLO.format(minor).encode(), False))
            self.reader.chunked = bool(minor)

    def raw(self, data):
        """Bytes as they are."""
        try:
            self.tls.sendall(data)
        except (ConnectionError, ssl.SSLError) as error:
            raise Ended(str(error)) from None

    def receive(self):
        """The next message, or Ended."""
        while not self.waiting:
            try:
                data = self.tls.recv(1 << 16)
            except (ConnectionError, ssl.SSLError) as error:
                raise Ended(str(error)) from None
            if not data:
                raise Ended("closed")
            self.reader.feed(data)
            self.waiting += [message.decode() for message in self.reader.messages()]
        return self.waiting.pop(0)

    def send(self, body, attributes=None):
        """An rpc without waiting for its answer."""
        self.number += 1
        attributes = f'message-id="{self.number}"' if attributes is None else attributes
        self.raw(frame(f'<rpc {attributes} xmlns="{BASE}">{body}</rpc>'.encode(), self.reader.chunked))

    def ask(self, body, attributes=None):
        """An rpc's answer; notifications before it stay in `notes`."""
        self.send(body, attributes)
        while True:
            message = self.receive()
            if "<notification" not in message:
                return message
            self.notes.append(message)

    @property
    def notes(self):
        return self.__dict__.setdefault("_notes", [])

    def note(self, name):
        """Waits for a notification of this name."""
        while True:
            message = self.notes.pop(0) if self.notes else self.receive()
            if f"<{name} " in message:
                return message

    # Usual requests

    def edit(self, settings, store="candidate", more=""):
        return self.ask(
            f"<edit-config><target><{store}/></target>{more}<config>{top(settings)}</config></edit-config>"
        )

    def commit(self, more=""):
        return self.ask(f"<commit>{more}</commit>")

    def config(self, store="running", more=""):
        """The settings element's text."""
        answer = self.ask(f"<get-config><source><{store}/></source>{more}</get-config>")
        found = re.search(r"<settings>(.*)</settings>", answer, re.S)
        return found[1] if found else ""

    def lock(self, store="candidate", verb="lock"):
        return self.ask(f"<{verb}><target><{store}/></target></{verb}>")

    def close(self):
        self.sock.close()
        self.tls.close()

    def reset(self):
        """Ends the connection by a reset, whatever is under way."""
        self.tls.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.tls.close()


def top(settings):
    return f'<coordinator xmlns="{SPACE}"><settings>{settings}</settings></coordinator>'


def tag_of(answer):
    """An answer's error tag, "ok" where there is none, for tests and figures."""
    found = re.search(r"<error-tag>([^<]*)<", answer)
    return found[1] if found else "ok"
