"""TLS 1.3 without a socket: bytes of the network in, plain bytes out, and the other way round.

The standard library's ssl over memory BIOs. Both sides show a certificate; there is nothing older than 1.3,
so no renegotiation, and no early data, which the library does not take. Tickets are off: each session is
checked anew."""

import hashlib
import ssl

from granitespool.errors import InvalidInputError

TAKEN = 64 * 1024  # plain bytes taken out in one read
# Bytes of a record that is written. Against clients that wait on the socket after a read of 4 KiB while the
# rest of a larger record stands in their TLS library (ncclient does). Harm: 22 bytes more for each 4 KiB.
RECORD = 4096


def context(certificate, key, authorities, protocol=None):
    """A server's context of three PEM files and the protocol that clients must agree to, if any.

    Raises InvalidInputError with one sentence."""
    made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    made.minimum_version = ssl.TLSVersion.TLSv1_3
    made.verify_mode = ssl.CERT_REQUIRED
    made.num_tickets = 0
    if protocol:
        made.set_alpn_protocols([protocol])
    for what, load in (
        (f"{certificate} and {key}", lambda: made.load_cert_chain(certificate, key)),
        (authorities, lambda: made.load_verify_locations(authorities)),
    ):
        try:
            load()
        except (OSError, ssl.SSLError) as error:
            why = error.reason or "it is no PEM" if isinstance(error, ssl.SSLError) else error.strerror
            raise InvalidInputError(f"[tls] {what} cannot be used: {why}") from None
    return made


class Broken(Exception):
    """The other side's TLS is wrong; the text says how. What `Secure.outgoing` holds may be its last
    words."""


class Secure:
    """One connection, the server's side."""

    def __init__(self, made):
        self.incoming, self.out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = made.wrap_bio(self.incoming, self.out, server_side=True)
        self.up = self.ended = False

    def feed(self, data):
        """Bytes of the network; b"" for its end. Returns the plain bytes that are complete; or Broken."""
        if data:
            self.incoming.write(data)
        else:
            self.incoming.write_eof()
        plain = []
        try:
            if not self.up:
                self.tls.do_handshake()
                self.up = True
            while not self.ended:
                piece = self.tls.read(TAKEN)
                if not piece:
                    self.ended = True
                plain.append(piece)
        except ssl.SSLWantReadError:
            pass
        except ssl.SSLError as error:
            if not (self.up and isinstance(error, (ssl.SSLEOFError, ssl.SSLZeroReturnError))):
                raise Broken(
                    error.verify_message
                    if isinstance(error, ssl.SSLCertVerificationError)
                    else error.reason or str(error)
                ) from None
            self.ended = True
        return b"".join(plain)

    def write(self, plain):
        """Plain bytes for the other side; they are among `outgoing` then."""
        view = memoryview(plain)
        while view:
            view = view[self.tls.write(view[:RECORD]) :]

    def outgoing(self):
        """Bytes that are to go to the network."""
        return self.out.read()

    def close(self):
        """Says the end; what is to be written of it is among `outgoing`."""
        try:
            self.tls.unwrap()
        except (ssl.SSLError, ValueError):
            pass  # the other side has not said its own, or there was no handshake

    def peer(self):
        """(what getpeercert tells, SHA-256 in hex) of the other side's certificate."""
        return self.tls.getpeercert(), hashlib.sha256(self.tls.getpeercert(binary_form=True)).hexdigest()
