"""XML namespaces of the messages, and the capabilities in the server's hello."""

from functools import cache

from granitespool.management import model

BASE = "urn:ietf:params:xml:ns:netconf:base:1.0"
YANG = "urn:ietf:params:xml:ns:yang:1"
NOTIFICATION = "urn:ietf:params:xml:ns:netconf:notification:1.0"
MONITORING = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring"
WITH_DEFAULTS = "urn:ietf:params:xml:ns:yang:ietf-netconf-with-defaults"
XML = "http://www.w3.org/XML/1998/namespace"

BASE_10 = "urn:ietf:params:netconf:base:1.0"
BASE_11 = "urn:ietf:params:netconf:base:1.1"
CAPABILITY = "urn:ietf:params:netconf:capability:"
CAPABILITIES = (
    BASE_10,
    BASE_11,
    CAPABILITY + "candidate:1.0",
    CAPABILITY + "confirmed-commit:1.1",
    CAPABILITY + "rollback-on-error:1.0",
    CAPABILITY + "validate:1.1",
    CAPABILITY + "startup:1.0",
    CAPABILITY + "xpath:1.0",
    CAPABILITY + "notification:1.0",
    CAPABILITY + "interleave:1.0",
    CAPABILITY + "with-defaults:1.0?basic-mode=explicit&also-supported=report-all",
    MONITORING + "?module=ietf-netconf-monitoring&revision=2010-10-04",
    f"{model.NAMESPACE}?module={model.MODULE}&revision={model.REVISION}",
)


def base_tag(name: str) -> str:
    """Return the qualified name of an element or attribute of NETCONF's base namespace."""
    return f"{{{BASE}}}{name}"


@cache  # called for each leaf of a reply; the cache holds at most one item per node name
def module_tag(name: str) -> str:
    """Return the qualified name of a data node of the granitespool module."""
    return f"{{{model.NAMESPACE}}}{name}"
