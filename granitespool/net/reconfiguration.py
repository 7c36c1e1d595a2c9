"""A new configuration while the service runs: who takes what of it, and what waits for a restart.

It knows the parts' `new_config`. It never reads a file: the configurations it is given have been checked."""

from typing import TYPE_CHECKING

from granitespool.net.config import CONNECTIONS_MIN, Configuration

if TYPE_CHECKING:
    from granitespool.net.service import Service


def may_gossip(config: Configuration) -> bool:
    """Whether the settings permit datagrams between coordinators, and there is an address for them."""
    return bool(config["settings"].gossip_allowed and config["peer_listen"])


def without_management_sockets(config: Configuration) -> Configuration:
    """The configuration with what management listeners may hold taken from the streams' descriptors."""
    operator = config.get("operator")
    listeners = [each for each in (operator.netconf, operator.gnmi) if each] if operator else []
    if not listeners:
        return config
    from granitespool.net.management_listener import sockets_max  # noqa: PLC0415 only where it is on

    held = sum(sockets_max(each.sessions) for each in listeners)
    replaced = config.copy()
    replaced["connections"] = max(CONNECTIONS_MIN, config["connections"] - held)
    return replaced


class Reconfiguration:
    """The configuration in force, and how the parts of a service take another one."""

    def __init__(self, service: "Service", config: Configuration) -> None:
        self.service = service
        self.config = config
        self.initial_config = config
        self.restart_required: list[str] = []  # of the last one that was taken

    def restart_required_by(self, config: Configuration) -> list[str]:
        """Names of what differs in this configuration and would wait for a restart."""
        service = self.service
        names = _fixed_differences(self.initial_config, config)
        if (service.gossip is not None) != may_gossip(config):
            names.append("peers")
        operator = config.get("operator")
        if service.operator or operator:
            from granitespool.operator_settings import restart_names  # noqa: PLC0415 only where it is on

            names += restart_names(service.operator, operator)
        names += service.coordinator.fixed_settings_changed(config["settings"])
        return names

    def apply(self, config: Configuration) -> list[str]:
        """Has each part take what is its own; returns the names of what waits for a restart.

        Where one part fails, all have the former configuration again, and its exception is raised."""
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
    """Names of the keys that differ and cannot change while the service runs."""
    names = []
    if before["name"] != now["name"]:
        names.append("name")
    if before["listen"] != now["listen"]:
        names.append("listen")
    if before["peer_listen"] != now["peer_listen"]:
        names.append("peer_listen")
    return names
