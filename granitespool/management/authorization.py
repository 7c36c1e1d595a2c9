"""Who a certificate stands for, and what that user may read and write; no I/O.

A user's `certificate` names one thing that the certificate must have: cn:NAME (its subject's common name),
dns:NAME, email:NAME or uri:NAME (a subject alternative name), or sha256:DIGEST (of the certificate itself).
The certificate is trusted by then: its chain was checked when the connection was made."""

from collections.abc import Collection, Iterable, Mapping
from typing import Any, NamedTuple

from granitespool.management.errors import ErrorTag, ManagementError

ALL = "*"
SHA256 = "sha256"
ALTERNATIVE_NAME_KINDS = {"DNS": "dns", "email": "email", "URI": "uri"}  # of ssl's getpeercert


class Identity(NamedTuple):
    """One thing that a certificate tells of whom it stands for: cn, dns, email, uri or sha256, and a text."""

    kind: str
    value: str


class User:
    """Who may manage the coordinator.

    Args:
        name: for the log.
        certificate: the identity that a certificate must have, as kind:value.
        read: whether anything may be read.
        write: names at the top of the settings, separated by commas, or ALL.
    """

    def __init__(self, name: str, certificate: str, read: bool, write: str) -> None:
        kind, _, value = certificate.partition(":")
        self.name = name
        self.identity = Identity(kind, value)
        self.read = read
        self.write = frozenset(word.strip() for word in write.split(",") if word.strip())

    def may_write(self, sections: Iterable[str]) -> bool:
        """Whether the user may change all of these names at the top of the settings."""
        return ALL in self.write or self.write.issuperset(sections)

    def matches(self, identities: Collection[Identity]) -> bool:
        """Whether a certificate with these identities stands for the user."""
        if self.identity in identities:
            return True
        if self.identity.kind != SHA256:
            return False
        digest = self.identity.value.lower().replace(":", "")
        return Identity(SHA256, digest) in identities


def certificate_identities(certificate: Mapping[str, Any], digest: str) -> set[Identity]:
    """What a certificate tells: `certificate` as ssl's getpeercert gives it, and its SHA-256 in hex."""
    identities = {Identity(SHA256, digest.lower())}
    for names in certificate.get("subject", ()):
        identities.update(Identity("cn", value) for key, value in names if key == "commonName")
    for key, value in certificate.get("subjectAltName", ()):
        kind = ALTERNATIVE_NAME_KINDS.get(key)
        if kind:
            identities.add(Identity(kind, value))
    return identities


def find_user(users: Iterable[User], identities: Collection[Identity]) -> User | None:
    """The first user that these identities stand for."""
    return next((user for user in users if user.matches(identities)), None)


def require_read(user: User) -> None:
    """Raises ManagementError unless a user may read."""
    if not user.read:
        raise ManagementError(ErrorTag.ACCESS_DENIED, f"{user.name} may not read")


def require_write(user: User, sections: Collection[str]) -> None:
    """Raises ManagementError unless a user may change these names at the top of the settings."""
    if not user.may_write(sections):
        beyond = ", ".join(sorted(set(sections) - user.write))
        reason = f"{user.name} may not write {beyond or 'anything'}"
        raise ManagementError(ErrorTag.ACCESS_DENIED, reason)
