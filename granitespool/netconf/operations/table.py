"""The dispatch table of the operations: handlers by namespace and name."""

from granitespool.netconf.context import Handler
from granitespool.netconf.namespaces import BASE, MONITORING, NOTIFICATION
from granitespool.netconf.operations.committing import cancel_commit, commit, discard_changes
from granitespool.netconf.operations.editing import copy_config, delete_config, edit_config, validate
from granitespool.netconf.operations.locking import lock, unlock
from granitespool.netconf.operations.monitoring import get_schema
from granitespool.netconf.operations.notifications import create_subscription
from granitespool.netconf.operations.retrieval import get, get_config
from granitespool.netconf.operations.sessions import close_session, kill_session

CLOSE_SESSION = "close-session"
HANDLERS: dict[tuple[str | None, str], Handler] = {
    (BASE, "get"): get,
    (BASE, "get-config"): get_config,
    (BASE, "edit-config"): edit_config,
    (BASE, "copy-config"): copy_config,
    (BASE, "delete-config"): delete_config,
    (BASE, "lock"): lock,
    (BASE, "unlock"): unlock,
    (BASE, "validate"): validate,
    (BASE, "commit"): commit,
    (BASE, "cancel-commit"): cancel_commit,
    (BASE, "discard-changes"): discard_changes,
    (BASE, CLOSE_SESSION): close_session,
    (BASE, "kill-session"): kill_session,
    (MONITORING, "get-schema"): get_schema,
    (NOTIFICATION, "create-subscription"): create_subscription,
}
