"""Rejects changes of settings that would do harm, or that need a restart; no I/O.

The types and must statements of the YANG module have been checked before. The checks of this module depend on
the current state of the coordinator.
"""

from collections.abc import Collection, Mapping
from typing import Any, TypeAlias

from granitespool.management.data_tree import NodePath
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.model import settings_path
from granitespool.settings import Settings
from granitespool.units import MILLISECOND, SECOND

Configuration: TypeAlias = Mapping[str, Any]
"""A configuration as `net.config` reads it."""

# An order to one proxy takes two channel entries: the changed table entry and its acknowledgement barrier.
# The message header is not counted.
ENTRIES_PER_ORDER = 2


def check(
    new: Configuration,
    old: Configuration,
    proxies: int,
    zones_in_use: Collection[str],
    restart_required: Collection[str],
) -> None:
    """Check whether a configuration may replace the current one.

    Args:
        new: the new configuration.
        old: the current configuration.
        proxies: the number of joined proxies.
        zones_in_use: the zones of the joined proxies.
        restart_required: the names of changed settings that take effect only after a restart.

    Raises:
        ManagementError: the configuration must not be applied.
    """
    settings: Settings = new["settings"]
    _check_classes(settings, old["settings"])
    _check_zones(settings, zones_in_use)
    _check_limits(new)
    _check_channel(settings, proxies)
    if restart_required:
        reason = (
            f"{', '.join(restart_required)} cannot change while the coordinator runs: "
            "put it into startup, and restart"
        )
        raise _failed(reason, settings_path())


def _failed(reason: str, path: NodePath) -> ManagementError:
    return ManagementError(ErrorTag.OPERATION_FAILED, reason, path)


def _check_classes(settings: Settings, current: Settings) -> None:
    if current.classes and not settings.classes:
        reason = "without a class there is nothing left to plan for"
        raise _failed(reason, settings_path("class"))


def _check_zones(settings: Settings, zones_in_use: Collection[str]) -> None:
    removed_zones = sorted(set(zones_in_use) - set(settings.zones or ()))
    if removed_zones:
        reason = (
            f"proxies of the zone {removed_zones[0]} have joined, and they would be left without a backend"
        )
        raise _failed(reason, settings_path("zone"))


def _check_limits(configuration: Configuration) -> None:
    """Reject limits above those that the process was started with."""
    limits = configuration.get("limits") or {}
    maxima = configuration.get("configured_limits") or {}
    exceeded = sorted(name for name, limit in limits.items() if limit > maxima.get(name, limit))
    if exceeded:
        name = exceeded[0]
        reason = f"{name} is over the {maxima[name]} that this process was started with"
        raise _failed(reason, settings_path("limits"))


def _check_channel(settings: Settings, proxies: int) -> None:
    """Reject a channel on which a drain cannot reach every proxy within the drain's grace.

    Otherwise drained backends would still get requests.
    """
    entries_per_s = settings.entries_per_s
    grace = settings.drain_grace
    entries = proxies * (ENTRIES_PER_ORDER + settings.effective_message_header)
    if entries_per_s and grace and entries / entries_per_s > grace / SECOND:
        reason = (
            f"one drain takes {entries / entries_per_s:.1f} s for {proxies} proxies at this pace, and "
            f"the grace is {grace // MILLISECOND} ms"
        )
        raise _failed(reason, settings_path("channel", "lines-per-second"))
    backlog = settings.backlog_limit
    if backlog and backlog < entries:
        reason = f"one drain takes {entries:.0f} lines for {proxies} proxies, more than the backlog may hold"
        raise _failed(reason, settings_path("channel", "backlog-limit"))
