"""TLS 1.3 without a socket: converts between encrypted bytes of the network and plain bytes.

Uses the `ssl` module of the standard library with memory BIOs. Both sides authenticate with a certificate.
TLS versions before 1.3 are disabled, so there is no renegotiation. The `ssl` module accepts no early data.
Session tickets are disabled, so each handshake checks the certificates.
"""

import hashlib
import ssl
from contextlib import suppress
from typing import Any

from granitespool.errors import GranitespoolError, InvalidInputError

READ_SIZE = 64 * 1024  # plain bytes, the largest read
# Plain bytes in a written record. Some clients (ncclient) read 4 KiB and then wait for the socket, although
# the rest of a larger record is already in their TLS library. Each record adds 22 bytes.
RECORD_SIZE = 4096


class TlsError(GranitespoolError):
    """Raised if the TLS handshake or a TLS record of a client is invalid; the text is the reason.

    `TlsConnection.outgoing` may afterwards return an alert for the client.
    """


def server_context(
    certificate: str, key: str, authorities: str, protocol: str | None = None
) -> ssl.SSLContext:
    """Return the TLS context of a server.

    `certificate`, `key` and `authorities` are paths of PEM files. `protocol` is the ALPN protocol that is
    offered to clients. Raise InvalidInputError with one sentence if a file cannot be used.
    """
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
    reason = (error.reason or "it is not a PEM file") if isinstance(error, ssl.SSLError) else error.strerror
    return InvalidInputError(f"[tls] {files} cannot be used: {reason}")


class TlsConnection:
    """The server's side of one TLS connection."""

    def __init__(self, context: ssl.SSLContext) -> None:
        self.incoming = ssl.MemoryBIO()
        self.to_network = ssl.MemoryBIO()
        self.tls = context.wrap_bio(self.incoming, self.to_network, server_side=True)
        self.is_established = False  # whether the handshake is complete
        self.has_ended = False  # whether the client has closed its side

    def feed(self, data: bytes) -> bytes:
        """Decrypt bytes received from the network and return the plain bytes of complete records.

        b"" stands for the end of the connection. Raise TlsError if the handshake or a record is invalid.
        """
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
        """Encrypt plain bytes for the client; `outgoing` then returns the encrypted bytes."""
        view = memoryview(plain)
        while view:
            view = view[self.tls.write(view[:RECORD_SIZE]) :]

    def outgoing(self) -> bytes:
        """Return and remove the encrypted bytes that have to be written to the network."""
        return self.to_network.read()

    def close(self) -> None:
        """Close the server's side; `outgoing` then returns the closing alert."""
        # ssl raises an error if the client has not closed its side, or if the handshake is not complete
        with suppress(ssl.SSLError, ValueError):
            self.tls.unwrap()

    def peer(self) -> tuple[dict[str, Any], str]:
        """Return the client's certificate in the form of `getpeercert`, and its SHA-256 digest in hex."""
        certificate = self.tls.getpeercert()
        binary = self.tls.getpeercert(binary_form=True)
        assert certificate is not None
        assert binary is not None
        return dict(certificate), hashlib.sha256(binary).hexdigest()


def _reason(error: ssl.SSLError) -> str:
    if isinstance(error, ssl.SSLCertVerificationError):
        return error.verify_message
    return error.reason or str(error)
