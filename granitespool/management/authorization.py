"""Who a certificate stands for, and what that user may read and write; no I/O.

A user's `certificate` names one thing that the certificate must have: cn:NAME (its subject's common name),
dns:NAME, email:NAME or uri:NAME (a subject alternative name), or sha256:DIGEST (of the certificate itself).
The certificate is trusted by then: its chain was checked when the connection was made."""

from granitespool.management.errors import Refused

ALL = "*"


class User:
    """`write`: names at the top of the settings, or ALL; `read`: whether anything may be read."""

    def __init__(self, name, certificate, read, write):
        self.name, self.read = name, read
        self.kind, _, self.value = certificate.partition(":")
        self.write = frozenset(word.strip() for word in write.split(",") if word.strip())

    def may_write(self, sections):
        return ALL in self.write or self.write.issuperset(sections)


def facts_of(certificate, digest):
    """{(kind, value)} of what ssl's getpeercert tells of a certificate, and of its SHA-256 in hex."""
    facts = {("sha256", digest.lower())}
    for pairs in certificate.get("subject", ()):
        facts |= {("cn", value) for key, value in pairs if key == "commonName"}
    for key, value in certificate.get("subjectAltName", ()):
        kind = {"DNS": "dns", "email": "email", "URI": "uri"}.get(key)
        if kind:
            facts.add((kind, value))
    return facts


def user_of(users, facts):
    """The first user that these facts stand for, or None."""
    return next(
        (
            user
            for user in users
            if (user.kind, user.value) in facts
            or user.kind == "sha256"
            and (user.kind, user.value.lower().replace(":", "")) in facts
        ),
        None,
    )


def must_read(user):
    if not user.read:
        raise Refused("access-denied", f"{user.name} may not read")


def must_write(user, sections):
    if not user.may_write(sections):
        beyond = ", ".join(sorted(set(sections) - user.write))
        raise Refused("access-denied", f"{user.name} may not write {beyond or 'anything'}")
