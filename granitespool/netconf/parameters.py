"""Parameters of operations: datastores, choices, and the settings that a config element holds; no I/O."""

from collections.abc import Sequence
from typing import NamedTuple

from granitespool.management import model
from granitespool.management.data_tree import Tree, node_path
from granitespool.management.edits import apply_changes
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.model import SchemaNode
from granitespool.management.settings_trees import DATASTORES
from granitespool.netconf.content import changes_of
from granitespool.netconf.namespaces import base, own
from granitespool.netconf.xmltree import Element, local_name, namespace_of

STATE_PATH = node_path(model.TOP, model.STATE)


class ConfigContent(NamedTuple):
    """What a config element holds: the settings' element, and the operation on it or above it."""

    settings: Element | None = None
    operation: str | None = None


def datastore_parameter(operation: Element, name: str) -> str:
    """The datastore that an operation's target or source names."""
    return datastore_name(only_child(operation, name))


def only_child(operation: Element, name: str) -> Element:
    """The single element within a parameter that must be there."""
    holder = operation.find(base(name))
    if holder is None or len(holder) != 1:
        reason = f"{local_name(operation)} lacks one {name}"
        raise ManagementError(ErrorTag.MISSING_ELEMENT, reason, element=name)
    return holder[0]


def datastore_name(element: Element) -> str:
    """The datastore that an element is named by."""
    name = local_name(element)
    if name == "url":
        raise ManagementError(ErrorTag.OPERATION_NOT_SUPPORTED, "there is no url capability")
    if name not in DATASTORES:
        raise ManagementError(ErrorTag.BAD_ELEMENT, f"there is no datastore {name!r:.40}", element=name)
    return name


def choice_parameter(operation: Element, name: str, choices: Sequence[str]) -> str:
    """A parameter that is one of some words; the first of them where it is absent."""
    text = operation.findtext(base(name))
    value = choices[0] if text is None else text.strip()
    if value not in choices:
        raise ManagementError(ErrorTag.INVALID_VALUE, f"{name} cannot be {value!r:.40}", element=name)
    return value


def config_content(config: Element) -> ConfigContent:
    """The settings within a config element."""
    for top in config:
        if top.tag != own(model.TOP):
            raise _unknown_top(top)
        for child in top:
            _check_settings(child)
            operation = child.get(base("operation")) or top.get(base("operation"))
            return ConfigContent(child, operation)
    return ConfigContent()


def _unknown_top(element: Element) -> ManagementError:
    is_foreign = namespace_of(element) != model.NAMESPACE
    return ManagementError(
        ErrorTag.UNKNOWN_NAMESPACE if is_foreign else ErrorTag.UNKNOWN_ELEMENT,
        f"there is no {local_name(element)!r:.40} here",
        element=local_name(element),
        namespace=namespace_of(element) or "",
    )


def _check_settings(element: Element) -> None:
    name = local_name(element)
    if name == model.STATE:
        raise ManagementError(ErrorTag.INVALID_VALUE, "state cannot be set", STATE_PATH)
    if element.tag != own(model.SETTINGS):
        raise ManagementError(ErrorTag.UNKNOWN_ELEMENT, f"there is no {name!r:.40} here", element=name)


def config_tree(config: Element, node: SchemaNode) -> Tree:
    """The tree of settings that a config element holds."""
    settings = config_content(config).settings
    return {} if settings is None else apply_changes(node, {}, changes_of(node, settings))
