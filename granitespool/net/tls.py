"""TLS 1.3 without a socket: bytes of the network in, plain bytes out, and the other way round.

The standard library's ssl over memory BIOs. Both sides show a certificate; there is nothing older than 1.3,
so no renegotiation, and no early data, which the library does not take. Tickets are off: each session is
checked anew."""

import hashlib
import ssl
from contextlib import suppress
from typing import Any

from granitespool.errors import GranitespoolError, InvalidInputError

READ_SIZE = 64 * 1024  # plain bytes taken out in one read
# Bytes of a record that is written. Some clients wait on the socket after a read of 4 KiB while the rest of a
# larger record is in their TLS library (ncclient does). Small records cost 22 bytes more for each 4 KiB.
RECORD_SIZE = 4096


class TlsError(GranitespoolError):
    """The other side's TLS is wrong; the text says how.

    What `TlsConnection.outgoing` holds then may be an alert for it."""


def server_context(
    certificate: str, key: str, authorities: str, protocol: str | None = None
) -> ssl.SSLContext:
    """A server's context of three PEM files and the protocol that clients must agree to, if any.

    Raises InvalidInputError with one sentence."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    context.num_tickets = 0
    if protocol:
        context.set_alpn_protocols([protocol])
    try:
        context.load_cert_chain(certificate, key)
    except (OSError, ssl.SSLError) as error:
        raise _unusable(f"{certificate} and {key}", error) from None
    try:
        context.load_verify_locations(authorities)
    except (OSError, ssl.SSLError) as error:
        raise _unusable(authorities, error) from None
    return context


def _unusable(files: str, error: OSError) -> InvalidInputError:
    reason = (error.reason or "it is no PEM") if isinstance(error, ssl.SSLError) else error.strerror
    return InvalidInputError(f"[tls] {files} cannot be used: {reason}")


class TlsConnection:
    """One connection, the server's side."""

    def __init__(self, context: ssl.SSLContext) -> None:
        self.incoming = ssl.MemoryBIO()
        self.to_network = ssl.MemoryBIO()
        self.tls = context.wrap_bio(self.incoming, self.to_network, server_side=True)
        self.is_established = False  # the handshake is done
        self.has_ended = False  # the other side has said its end

    def feed(self, data: bytes) -> bytes:
        """Takes bytes of the network, b"" for its end; returns the plain bytes that are complete.

        Raises TlsError."""
        if data:
            self.incoming.write(data)
        else:
            self.incoming.write_eof()
        plain: list[bytes] = []
        try:
            if not self.is_established:
                self.tls.do_handshake()
                self.is_established = True
            while not self.has_ended:
                piece = self.tls.read(READ_SIZE)
                if not piece:
                    self.has_ended = True
                plain.append(piece)
        except ssl.SSLWantReadError:
            pass
        except ssl.SSLError as error:
            if not (self.is_established and isinstance(error, ssl.SSLEOFError | ssl.SSLZeroReturnError)):
                raise TlsError(_reason(error)) from None
            self.has_ended = True
        return b"".join(plain)

    def write(self, plain: bytes) -> None:
        """Takes plain bytes for the other side; they are among `outgoing` then."""
        view = memoryview(plain)
        while view:
            view = view[self.tls.write(view[:RECORD_SIZE]) :]

    def outgoing(self) -> bytes:
        """Bytes that are to go to the network."""
        return self.to_network.read()

    def close(self) -> None:
        """Says the end; what is to be written of it is among `outgoing`."""
        # The other side may not have said its own end, or there was no handshake
        with suppress(ssl.SSLError, ValueError):
            self.tls.unwrap()

    def peer(self) -> tuple[dict[str, Any], str]:
        """The other side's certificate, as getpeercert tells it, and its SHA-256 in hex."""
        certificate = self.tls.getpeercert()
        binary = self.tls.getpeercert(binary_form=True)
        assert certificate is not None
        assert binary is not None
        return dict(certificate), hashlib.sha256(binary).hexdigest()


def _reason(error: ssl.SSLError) -> str:
    if isinstance(error, ssl.SSLCertVerificationError):
        return error.verify_message
    return error.reason or str(error)
