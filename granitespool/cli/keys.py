"""The command `keys`: makes a private authority with server and client certificates, or shows certificates.

The keys are generated on this machine and stay in the folder; they are meant for tests. In production, use
certificates of your own authority.
"""

import datetime
import ipaddress
import os
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from granitespool.errors import InvalidInputError

AUTHORITY_NAME = "granitespool trial authority"
MAX_DAYS = 3650  # maximum validity of certificates
EXPIRES_SOON_DAYS = 14  # remaining validity below which a certificate is reported to expire soon
CLOCK_SKEW = datetime.timedelta(minutes=5)  # time by which the validity begins earlier, since clocks differ
SECONDS_PER_DAY = 86_400


class Subject(NamedTuple):
    """Subject of a certificate and its permitted use."""

    name: str
    usage: x509.ObjectIdentifier | None = None  # None for an authority
    alternative_names: Sequence[str] = ()


class Validity(NamedTuple):
    """Beginning and duration of the validity of a certificate."""

    begins: datetime.datetime
    days: int


class Issuer(NamedTuple):
    """Authority that issues certificates, with its certificate and private key."""

    certificate: x509.Certificate
    key: ec.EllipticCurvePrivateKey


def run(arguments: Mapping[str, Any]) -> int:
    """Make or show certificates and return the exit code."""
    if arguments["show"]:
        return show(arguments["FILE"])
    return make(arguments["DIR"], arguments["--name"], arguments["--user"], arguments["--days"])


def make(folder: str, names: Sequence[str], users: Sequence[str], days: str) -> int:
    """Make certificates for an authority, a server and each user in a folder that is new or empty.

    Raises:
        InvalidInputError: the folder is not empty, or `days` is not a valid number of days.
    """
    if not days.isdecimal() or not 1 <= int(days) <= MAX_DAYS:
        reason = f"--days is {days!r:.20}, expected a whole number from 1 to {MAX_DAYS}"
        raise InvalidInputError(reason)
    path = Path(folder)
    path.mkdir(mode=0o700, parents=True, exist_ok=True)
    if any(path.iterdir()):
        reason = f"the folder {folder} is not empty, existing keys are never overwritten"
        raise InvalidInputError(reason)
    validity = Validity(datetime.datetime.now(datetime.UTC), int(days))
    authority_key = new_key()
    authority = Issuer(issue(Subject(AUTHORITY_NAME), validity, authority_key, None), authority_key)
    _write_pair(path, "ca", authority.certificate, authority.key)
    server = ("server", Subject(names[0], ExtendedKeyUsageOID.SERVER_AUTH, names))
    clients = [(user, Subject(user, ExtendedKeyUsageOID.CLIENT_AUTH)) for user in users]
    for file_name, subject in (server, *clients):
        key = new_key()
        _write_pair(path, file_name, issue(subject, validity, key, authority), key)
    print(
        f"{folder}: ca, server ({', '.join(names)}), clients {', '.join(users)}; valid for {int(days)} days"
    )
    return 0


def new_key() -> ec.EllipticCurvePrivateKey:
    """Generate a private key."""
    return ec.generate_private_key(ec.SECP256R1())


def issue(
    subject: Subject, validity: Validity, key: ec.EllipticCurvePrivateKey, issuer: Issuer | None
) -> x509.Certificate:
    """Issue a certificate for a key; without an issuer it is self-signed."""
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, subject.name)])
    issuer_key = issuer.key if issuer else key
    builder = (
        x509.CertificateBuilder()
        .subject_name(name)
        .public_key(key.public_key())
        .issuer_name(issuer.certificate.subject if issuer else name)
        .serial_number(x509.random_serial_number())
        .not_valid_before(validity.begins - CLOCK_SKEW)
        .not_valid_after(validity.begins + datetime.timedelta(days=validity.days))
    )
    for extension, critical in _extensions(subject, key, issuer_key):
        builder = builder.add_extension(extension, critical=critical)
    return builder.sign(issuer_key, hashes.SHA256())


def _extensions(
    subject: Subject, key: ec.EllipticCurvePrivateKey, issuer_key: ec.EllipticCurvePrivateKey
) -> Iterable[tuple[x509.ExtensionType, bool]]:
    """Yield the extensions of a certificate, each with whether it is critical."""
    is_authority = subject.usage is None
    yield x509.BasicConstraints(ca=is_authority, path_length=None), True
    yield x509.SubjectKeyIdentifier.from_public_key(key.public_key()), False
    yield x509.AuthorityKeyIdentifier.from_issuer_public_key(issuer_key.public_key()), False
    yield _key_usage(is_authority), True
    if subject.usage:
        yield x509.ExtendedKeyUsage([subject.usage]), False
    if subject.alternative_names:
        names = [_alternative_name(name) for name in subject.alternative_names]
        yield x509.SubjectAlternativeName(names), False


def _key_usage(is_authority: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=True,
        key_cert_sign=is_authority,
        crl_sign=is_authority,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        encipher_only=False,
        decipher_only=False,
    )


def _alternative_name(name: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(name))
    except ValueError:
        return x509.DNSName(name)


def key_bytes(key: ec.EllipticCurvePrivateKey) -> bytes:
    """Return a private key in PEM format."""
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def _write_pair(
    folder: Path, name: str, certificate: x509.Certificate, key: ec.EllipticCurvePrivateKey
) -> None:
    _write(folder / f"{name}.pem", certificate.public_bytes(serialization.Encoding.PEM))
    _write(folder / f"{name}.key", key_bytes(key))


def _write(path: Path, data: bytes) -> None:
    """Write a new file that only its owner may read."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
    with os.fdopen(descriptor, "wb") as file:
        file.write(data)


def show(files: Iterable[str]) -> int:
    """Print the subject and expiry of each certificate; return 1 if one has expired or expires soon."""
    code = 0
    now = datetime.datetime.now(datetime.UTC)
    for path in files:
        for certificate in _read(path):
            days_left = (certificate.not_valid_after_utc - now).total_seconds() / SECONDS_PER_DAY
            if days_left < EXPIRES_SOON_DAYS:
                code = 1
            print(_line(path, certificate, days_left))
    return code


def _read(path: str) -> list[x509.Certificate]:
    try:
        return x509.load_pem_x509_certificates(Path(path).read_bytes())
    except ValueError:
        reason = f"{path} contains no PEM certificate"
        raise InvalidInputError(reason) from None


def _line(path: str, certificate: x509.Certificate, days_left: float) -> str:
    state = "valid"
    if days_left < 0:
        state = "expired"
    elif days_left < EXPIRES_SOON_DAYS:
        state = "expires soon"
    return (
        f"{path}: {certificate.subject.rfc4514_string()}, "
        f"sha256:{certificate.fingerprint(hashes.SHA256()).hex()}, "
        f"{state}, until {certificate.not_valid_after_utc:%Y-%m-%d %H:%M} UTC ({days_left:.0f} days)"
    )
