"""lock and unlock (RFC 6241, 7.5 and 7.6)."""

from granitespool.netconf.context import OperationContext
from granitespool.netconf.parameters import datastore_parameter
from granitespool.netconf.xmltree import Element


def lock(context: OperationContext, operation: Element, _reply: Element) -> None:
    """Lock a datastore, so that no other session may change it."""
    context.service.datastores.lock(context.owner, datastore_parameter(operation, "target"))


def unlock(context: OperationContext, operation: Element, _reply: Element) -> None:
    """Release a lock of this session."""
    context.service.datastores.unlock(context.owner, datastore_parameter(operation, "target"))
