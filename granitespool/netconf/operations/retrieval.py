"""get and get-config (RFC 6241, 7.1 and 7.7), with filters and with-defaults (RFC 6243)."""

from lxml import etree

from granitespool.management import model
from granitespool.management.authorization import require_read
from granitespool.management.data_tree import Tree
from granitespool.management.edits import with_defaults
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.settings_trees import RUNNING
from granitespool.netconf.content import append_tree, top_element
from granitespool.netconf.context import OperationContext, Steps
from granitespool.netconf.filters import XPATH, Filter
from granitespool.netconf.namespaces import WITH_DEFAULTS, base_tag
from granitespool.netconf.parameters import datastore_parameter
from granitespool.netconf.xmltree import Element

ENTRIES_PER_STEP = 20  # list entries that one step adds to a reply; this takes about 0.2 ms


def get(context: OperationContext, operation: Element, reply: Element) -> Steps:
    """Reply with the running settings and the operational state."""
    require_read(context.user)
    state = context.service.new_state_reader()
    yield from state.steps()
    settings = _with_requested_defaults(context, operation, context.service.datastores.tree(RUNNING))
    yield from _add_data(context, operation, reply, {model.SETTINGS: settings, model.STATE: state.tree})


def get_config(context: OperationContext, operation: Element, reply: Element) -> Steps:
    """Reply with the settings of a datastore."""
    require_read(context.user)
    source = datastore_parameter(operation, "source")
    settings = _with_requested_defaults(context, operation, context.service.datastores.tree(source))
    yield from _add_data(context, operation, reply, {model.SETTINGS: settings})


def _with_requested_defaults(context: OperationContext, operation: Element, tree: Tree) -> Tree:
    """Return a tree of settings with or without defaults, according to the request's with-defaults."""
    text = operation.findtext(f"{{{WITH_DEFAULTS}}}with-defaults")
    mode = "explicit" if text is None else text.strip()
    if mode == "explicit":
        return tree
    if mode != "report-all":
        reason = f"with-defaults cannot be {mode!r:.40}"
        raise ManagementError(ErrorTag.INVALID_VALUE, reason, element="with-defaults")
    return with_defaults(context.service.model.settings, tree)


def _add_data(context: OperationContext, operation: Element, reply: Element, tree: Tree) -> Steps:
    """Add the part of a tree that the request's filter selects to the reply, in steps."""
    request_filter = Filter(operation)
    top = context.service.model.top
    selected = request_filter.select_tree(top, tree)
    data = etree.SubElement(reply, base_tag("data"))
    if selected:
        for step, _ in enumerate(append_tree(top_element(data, top.name), top, selected)):
            if step % ENTRIES_PER_STEP == 0:
                yield
    if request_filter.kind == XPATH:
        yield
        request_filter.select_elements(data)
