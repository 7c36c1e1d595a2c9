"""Maps client certificates to users, and checks what a user may read and write; no I/O.

The `certificate` setting of a user is one identity that the client's certificate must have: cn:NAME (the
common name of its subject), dns:NAME, email:NAME or uri:NAME (a subject alternative name), or sha256:DIGEST
(the fingerprint of the certificate). The TLS handshake has already verified the certificate's chain.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import Any, NamedTuple

from granitespool.management.errors import ErrorTag, ManagementError

ALL = "*"
SHA256 = "sha256"
# Kinds of subject alternative names: as in the result of ssl's getpeercert, and as in an Identity.
ALTERNATIVE_NAME_KINDS = {"DNS": "dns", "email": "email", "URI": "uri"}


class Identity(NamedTuple):
    """An identity of a certificate: `kind` is cn, dns, email, uri or sha256."""

    kind: str
    value: str


class User:
    """A user who may manage the coordinator.

    Args:
        name: the user's name in the log.
        certificate: the identity that the client's certificate must have, as kind:value.
        read: whether the user may read settings and state.
        write: the top-level names of the settings that the user may write, separated by commas, or ALL.
    """

    def __init__(self, name: str, certificate: str, read: bool, write: str) -> None:
        kind, _, value = certificate.partition(":")
        self.name = name
        self.identity = Identity(kind, value)
        self.read = read
        self.write = frozenset(section.strip() for section in write.split(",") if section.strip())

    def may_write(self, sections: Iterable[str]) -> bool:
        """Return whether the user may write all of these top-level names of the settings."""
        return ALL in self.write or self.write.issuperset(sections)

    def matches(self, identities: Collection[Identity]) -> bool:
        """Return whether a certificate with these identities belongs to the user."""
        if self.identity in identities:
            return True
        if self.identity.kind != SHA256:
            return False
        digest = self.identity.value.lower().replace(":", "")
        return Identity(SHA256, digest) in identities


def certificate_identities(certificate: Mapping[str, Any], digest: str) -> set[Identity]:
    """Return the identities of a certificate.

    Args:
        certificate: the certificate in the form of ssl's getpeercert.
        digest: the SHA-256 of the certificate, in hexadecimal.
    """
    identities = {Identity(SHA256, digest.lower())}
    for names in certificate.get("subject", ()):
        identities.update(Identity("cn", value) for key, value in names if key == "commonName")
    for key, value in certificate.get("subjectAltName", ()):
        kind = ALTERNATIVE_NAME_KINDS.get(key)
        if kind:
            identities.add(Identity(kind, value))
    return identities


def find_user(users: Iterable[User], identities: Collection[Identity]) -> User | None:
    """Return the first user that one of these identities belongs to."""
    return next((user for user in users if user.matches(identities)), None)


def require_read(user: User) -> None:
    """Raise ManagementError unless the user may read."""
    if not user.read:
        raise ManagementError(ErrorTag.ACCESS_DENIED, f"{user.name} may not read")


def require_write(user: User, sections: Collection[str]) -> None:
    """Raise ManagementError unless the user may write these top-level names of the settings."""
    if not user.may_write(sections):
        unauthorized = ", ".join(sorted(set(sections) - user.write))
        reason = f"{user.name} may not write {unauthorized or 'anything'}"
        raise ManagementError(ErrorTag.ACCESS_DENIED, reason)
