"""`keys`: a private authority with server and client certificates for trying out, and what expires when.

The keys are made on this machine and stay in the folder. For service, take certificates from your own
authority."""

import datetime
import ipaddress
import os

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from granitespool.errors import InvalidInputError

DAYS = 90  # that certificates hold: for trying out
SOON_DAYS = 14  # before the end a certificate is called so


def run(told):
    return (
        show(told["FILE"])
        if told["show"]
        else make(told["DIR"], told["--name"], told["--user"], told["--days"])
    )


def make(folder, names, users, days):
    """ca, server and one client certificate a user in a folder that must be new or empty."""
    if not days.isdecimal() or not 1 <= int(days) <= 3650:
        raise InvalidInputError(f"--days is {days!r:.20}, where a whole number from 1 to 3650 would do")
    os.makedirs(folder, mode=0o700, exist_ok=True)
    if os.listdir(folder):
        raise InvalidInputError(f"the folder {folder} is not empty, and keys are never overwritten")
    days = int(days)
    authority_key = ec.generate_private_key(ec.SECP256R1())
    authority = _certificate("granitespool trial authority", authority_key, days, None, None, None, [])
    _write(folder, "ca.pem", authority.public_bytes(serialization.Encoding.PEM))
    _write(folder, "ca.key", _key_bytes(authority_key))
    for file, name, usage, alternatives in (
        ("server", names[0], ExtendedKeyUsageOID.SERVER_AUTH, names),
        *((user, user, ExtendedKeyUsageOID.CLIENT_AUTH, []) for user in users),
    ):
        key = ec.generate_private_key(ec.SECP256R1())
        made = _certificate(name, key, days, authority, authority_key, usage, alternatives)
        _write(folder, f"{file}.pem", made.public_bytes(serialization.Encoding.PEM))
        _write(folder, f"{file}.key", _key_bytes(key))
    print(f"{folder}: ca, server ({', '.join(names)}), clients {', '.join(users)}; they hold for {days} days")
    return 0


def _certificate(name, key, days, authority, authority_key, usage, alternatives, begins=None):
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = begins or datetime.datetime.now(datetime.timezone.utc)
    builder = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .public_key(key.public_key())
        .issuer_name(authority.subject if authority else subject)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(minutes=5))
        .not_valid_after(now + datetime.timedelta(days=days))
        .add_extension(x509.BasicConstraints(ca=authority is None, path_length=None), critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        .add_extension(
            x509.AuthorityKeyIdentifier.from_issuer_public_key((authority_key or key).public_key()),
            critical=False,
        )
        .add_extension(
            x509.KeyUsage(
                digital_signature=True,
                key_cert_sign=authority is None,
                crl_sign=authority is None,
                content_commitment=False,
                key_encipherment=False,
                data_encipherment=False,
                key_agreement=False,
                encipher_only=False,
                decipher_only=False,
            ),
            critical=True,
        )
    )
    if usage:
        builder = builder.add_extension(x509.ExtendedKeyUsage([usage]), critical=False)
    if alternatives:
        builder = builder.add_extension(
            x509.SubjectAlternativeName(list(map(_alternative, alternatives))), critical=False
        )
    return builder.sign(authority_key or key, hashes.SHA256())


def _alternative(name):
    try:
        return x509.IPAddress(ipaddress.ip_address(name))
    except ValueError:
        return x509.DNSName(name)


def _key_bytes(key):
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def _write(folder, name, data):
    fd = os.open(os.path.join(folder, name), os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
    with os.fdopen(fd, "wb") as file:
        file.write(data)


def show(files):
    """Who each certificate is of and when it ends; 1 where one has ended or ends within SOON_DAYS."""
    code, now = 0, datetime.datetime.now(datetime.timezone.utc)
    for path in files:
        try:
            with open(path, "rb") as file:
                certificates = x509.load_pem_x509_certificates(file.read())
        except ValueError:
            raise InvalidInputError(f"{path} holds no certificate in PEM") from None
        for each in certificates:
            left = (each.not_valid_after_utc - now).total_seconds() / 86400
            word = "has ended" if left < 0 else "ends soon" if left < SOON_DAYS else "holds"
            code = code or int(left < SOON_DAYS)
            print(
                f"{path}: {each.subject.rfc4514_string()}, "
                f"sha256:{each.fingerprint(hashes.SHA256()).hex()}, "
                f"{word}, until {each.not_valid_after_utc:%Y-%m-%d %H:%M} UTC ({left:.0f} days)"
            )
    return code
