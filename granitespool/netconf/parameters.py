"""Parameters of operations: datastores, choices, and the settings within a config element; no I/O."""

from collections.abc import Sequence
from typing import NamedTuple

from granitespool.management import model
from granitespool.management.data_tree import Tree, node_path
from granitespool.management.edits import apply_changes
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.model import SchemaNode
from granitespool.management.settings_trees import DATASTORES
from granitespool.netconf.content import changes_from_element
from granitespool.netconf.namespaces import base_tag, module_tag
from granitespool.netconf.xmltree import Element, element_namespace, local_name

STATE_PATH = node_path(model.TOP, model.STATE)


class ConfigContent(NamedTuple):
    """The content of a config element.

    `settings` is the element of the settings; `operation` is its operation attribute, or that of its parent.
    """

    settings: Element | None = None
    operation: str | None = None


def datastore_parameter(operation: Element, name: str) -> str:
    """Return the datastore that the target or source of an operation names."""
    return datastore_name(only_child(operation, name))


def only_child(operation: Element, name: str) -> Element:
    """Return the single element within a mandatory parameter."""
    parameter = operation.find(base_tag(name))
    if parameter is None or len(parameter) != 1:
        reason = f"{local_name(operation)} lacks one {name}"
        raise ManagementError(ErrorTag.MISSING_ELEMENT, reason, element=name)
    return parameter[0]


def datastore_name(element: Element) -> str:
    """Return the datastore that an element names."""
    name = local_name(element)
    if name == "url":
        raise ManagementError(ErrorTag.OPERATION_NOT_SUPPORTED, "there is no url capability")
    if name not in DATASTORES:
        raise ManagementError(ErrorTag.BAD_ELEMENT, f"there is no datastore {name!r:.40}", element=name)
    return name


def choice_parameter(operation: Element, name: str, choices: Sequence[str]) -> str:
    """Return a parameter whose value is one of `choices`; the first choice is the default."""
    text = operation.findtext(base_tag(name))
    value = choices[0] if text is None else text.strip()
    if value not in choices:
        raise ManagementError(ErrorTag.INVALID_VALUE, f"{name} cannot be {value!r:.40}", element=name)
    return value


def config_content(config: Element) -> ConfigContent:
    """Return the content of a config element."""
    for top in config:
        if top.tag != module_tag(model.TOP):
            raise _unknown_top(top)
        for child in top:
            _check_settings(child)
            operation = child.get(base_tag("operation")) or top.get(base_tag("operation"))
            return ConfigContent(child, operation)
    return ConfigContent()


def _unknown_top(element: Element) -> ManagementError:
    is_foreign = element_namespace(element) != model.NAMESPACE
    return ManagementError(
        ErrorTag.UNKNOWN_NAMESPACE if is_foreign else ErrorTag.UNKNOWN_ELEMENT,
        f"there is no {local_name(element)!r:.40} here",
        element=local_name(element),
        namespace=element_namespace(element) or "",
    )


def _check_settings(element: Element) -> None:
    name = local_name(element)
    if name == model.STATE:
        raise ManagementError(ErrorTag.INVALID_VALUE, "state cannot be set", STATE_PATH)
    if element.tag != module_tag(model.SETTINGS):
        raise ManagementError(ErrorTag.UNKNOWN_ELEMENT, f"there is no {name!r:.40} here", element=name)


def config_tree(config: Element, node: SchemaNode) -> Tree:
    """Return the tree of settings within a config element."""
    settings = config_content(config).settings
    return {} if settings is None else apply_changes(node, {}, changes_from_element(node, settings))
