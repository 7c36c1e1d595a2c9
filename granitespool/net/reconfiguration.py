"""Apply a new configuration while the service runs, and list the settings that require a restart.

Calls `reconfigure` of each part. This module never reads a file; the caller has checked the configuration.
"""

from typing import TYPE_CHECKING

from granitespool.net.config import CONNECTIONS_MIN, Configuration

if TYPE_CHECKING:
    from granitespool.net.service import Service


def may_gossip(config: Configuration) -> bool:
    """Return whether the settings permit gossip and a gossip address is set."""
    return bool(config["settings"].gossip_allowed and config["peer_listen"])


def without_management_sockets(config: Configuration) -> Configuration:
    """Return a configuration whose connection limit excludes the sockets of the management listeners."""
    operator = config.get("operator")
    listeners = [listener for listener in (operator.netconf, operator.gnmi) if listener] if operator else []
    if not listeners:
        return config
    from granitespool.net.management_listener import sockets_max  # noqa: PLC0415 only if enabled

    management_sockets = sum(sockets_max(listener.sessions) for listener in listeners)
    updated = config.copy()
    updated["connections"] = max(CONNECTIONS_MIN, config["connections"] - management_sockets)
    return updated


class Reconfiguration:
    """Holds the current configuration and applies a new configuration to the parts of a service."""

    def __init__(self, service: "Service", config: Configuration) -> None:
        self.service = service
        self.config = config
        self.initial_config = config
        self.restart_required: list[str] = []  # setting names that the last `apply` returned

    def restart_required_by(self, config: Configuration) -> list[str]:
        """Return the names of the changed settings in `config` that would require a restart."""
        service = self.service
        names = _fixed_differences(self.initial_config, config)
        if (service.gossip is not None) != may_gossip(config):
            names.append("peers")
        operator = config.get("operator")
        if service.operator or operator:
            from granitespool.operator_settings import restart_names  # noqa: PLC0415 only if enabled

            names += restart_names(service.operator, operator)
        names += service.coordinator.fixed_settings_changed(config["settings"])
        return names

    def apply(self, config: Configuration) -> list[str]:
        """Apply a configuration to all parts; return the names of the settings that require a restart.

        If a part raises an exception, the former configuration is applied to all parts again, and the
        exception is raised to the caller.
        """
        names = self.restart_required_by(config)
        try:
            self._apply_to_parts(config)
        except Exception:
            self._apply_to_parts(self.config)
            raise
        self.config = config
        self.restart_required = names
        return names

    def _apply_to_parts(self, config: Configuration) -> None:
        service = self.service
        operator = config.get("operator")
        if service.snapshotter and operator and operator.state:
            service.snapshotter.set_options(operator.state)
        if service.metrics and operator and operator.figures:
            service.metrics.options = operator.figures
        service.coordinator.apply_settings(service.loop.now, config["settings"])
        service.discovery.reconfigure(config)
        service.health_checks.reconfigure(config)
        service.streams.reconfigure(config)
        if service.gossip:
            service.gossip.reconfigure(config)
        service.pool.limit = config["buffers"]


def _fixed_differences(before: Configuration, now: Configuration) -> list[str]:
    """Return the keys that differ between two configurations and cannot change without a restart."""
    names = []
    if before["name"] != now["name"]:
        names.append("name")
    if before["listen"] != now["listen"]:
        names.append("listen")
    if before["peer_listen"] != now["peer_listen"]:
        names.append("peer_listen")
    return names
