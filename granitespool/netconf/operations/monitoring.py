"""get-schema (RFC 6022, 3.1)."""

from lxml import etree

from granitespool.management import model
from granitespool.management.authorization import require_read
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.netconf.context import OperationContext
from granitespool.netconf.namespaces import MONITORING
from granitespool.netconf.xmltree import Element


def get_schema(context: OperationContext, operation: Element, reply: Element) -> None:
    """Reply with the text of the YANG module."""
    require_read(context.user)
    name = _parameter(operation, "identifier", "")
    version = _parameter(operation, "version", model.REVISION)
    schema_format = _parameter(operation, "format", "yang").rpartition(":")[2]
    if (name, version, schema_format) != (model.MODULE, model.REVISION, "yang"):
        reason = f"there is no schema {name!r:.40} {version!r:.20} as {schema_format!r:.20}"
        raise ManagementError(ErrorTag.INVALID_VALUE, reason)
    data = etree.SubElement(reply, f"{{{MONITORING}}}data", nsmap={None: MONITORING})
    data.text = model.source()


def _parameter(operation: Element, name: str, default: str) -> str:
    return (operation.findtext(f"{{{MONITORING}}}{name}") or default).strip()
