"""edit-config, copy-config, delete-config and validate (RFC 6241, 7.2 to 7.4 and 8.6)."""

from granitespool.management.authorization import require_write
from granitespool.management.data_tree import Tree
from granitespool.management.edits import REMOVALS, Change, apply_changes, differing_names
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.settings_trees import STARTUP
from granitespool.netconf.content import changes_from_element
from granitespool.netconf.context import OperationContext, Steps
from granitespool.netconf.namespaces import base_tag
from granitespool.netconf.parameters import (
    choice_parameter,
    config_content,
    config_tree,
    datastore_name,
    datastore_parameter,
    only_child,
)
from granitespool.netconf.xmltree import Element, local_name

DEFAULT_OPERATIONS = ("merge", "replace", "none")
TEST_OPTIONS = ("test-then-set", "set", "test-only")
ERROR_OPTIONS = ("stop-on-error", "continue-on-error", "rollback-on-error")


def edit_config(context: OperationContext, operation: Element, _reply: Element) -> Steps:
    """Change the settings of candidate or startup."""
    target = datastore_parameter(operation, "target")
    default_operation = choice_parameter(operation, "default-operation", DEFAULT_OPERATIONS)
    test_option = choice_parameter(operation, "test-option", TEST_OPTIONS)
    # An edit is applied completely or not at all, with every error option.
    choice_parameter(operation, "error-option", ERROR_OPTIONS)
    config = operation.find(base_tag("config"))
    if config is None:
        raise ManagementError(ErrorTag.MISSING_ELEMENT, "edit-config lacks a config", element="config")
    content = config_content(config)
    node = context.service.model.settings
    changes = () if content.settings is None else changes_from_element(node, content.settings)
    if content.operation in (*REMOVALS, "replace") or default_operation == "replace":
        _replace_settings(context, target, content.operation, changes, test_option)
    else:
        require_write(context.user, sorted({change.name for change in changes}))
        datastores = context.service.datastores
        datastores.edit(context.owner, target, changes, content.operation or default_operation, test_option)
    if target == STARTUP and test_option != "test-only":
        yield from context.wait_for(context.service.save_startup)


def _replace_settings(
    context: OperationContext,
    target: str,
    operation: str | None,
    changes: tuple[Change, ...],
    test_option: str,
) -> None:
    """Replace or remove all settings."""
    datastores = context.service.datastores
    node = context.service.model.settings
    tree = {} if operation in REMOVALS else apply_changes(node, {}, changes)
    require_write(context.user, differing_names(datastores.tree(target), tree))
    if test_option == "test-only":
        datastores.validate(tree)
    else:
        datastores.copy(context.owner, target, tree)


def copy_config(context: OperationContext, operation: Element, _reply: Element) -> Steps:
    """Replace candidate or startup by another datastore or by the config in the request."""
    target = datastore_parameter(operation, "target")
    tree = _source_tree(context, operation)
    datastores = context.service.datastores
    require_write(context.user, differing_names(datastores.tree(target), tree))
    datastores.copy(context.owner, target, tree)
    if target == STARTUP:
        yield from context.wait_for(context.service.save_startup)


def delete_config(context: OperationContext, operation: Element, _reply: Element) -> Steps:
    """Delete startup, so that a restart uses running."""
    target = datastore_parameter(operation, "target")
    require_write(context.user, [*context.service.model.settings.children])
    context.service.datastores.delete(context.owner, target)
    if target == STARTUP:
        yield from context.wait_for(context.service.save_startup)


def validate(context: OperationContext, operation: Element, _reply: Element) -> None:
    """Check the settings of a datastore or of the config in the request."""
    context.service.datastores.validate(_source_tree(context, operation))


def _source_tree(context: OperationContext, operation: Element) -> Tree:
    source = only_child(operation, "source")
    if local_name(source) == "config":
        return config_tree(source, context.service.model.settings)
    return context.service.datastores.tree(datastore_name(source))
