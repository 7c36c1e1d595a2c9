"""What a change of settings would break, and what of it waits for a restart; no I/O.

The module's types and musts are checked before; here stands what depends on the coordinator as it is now."""

from collections.abc import Collection, Mapping
from typing import Any, TypeAlias

from granitespool.management.data_tree import NodePath
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.model import settings_path
from granitespool.settings import Settings
from granitespool.units import MILLISECOND, SECOND

Configuration: TypeAlias = Mapping[str, Any]
"""As net.config reads it."""

ENTRIES_PER_ORDER = 2  # that one order to one proxy takes beside its envelope: the entry and its mark


def check(
    new: Configuration,
    old: Configuration,
    proxies: int,
    zones_in_use: Collection[str],
    waits: Collection[str],
) -> None:
    """Checks whether a configuration may take the place of the present one.

    Args:
        new: the configuration that is to act.
        old: the one that acts.
        proxies: how many have joined.
        zones_in_use: zones that proxies have joined from.
        waits: names of settings that differ and wait for a restart.

    Raises:
        ManagementError: it must not.
    """
    settings: Settings = new["settings"]
    _check_classes(settings, old["settings"])
    _check_zones(settings, zones_in_use)
    _check_limits(new)
    _check_channel(settings, proxies)
    if waits:
        reason = (
            f"{', '.join(waits)} cannot change while the coordinator runs: put it into startup, and restart"
        )
        raise _failed(reason, settings_path())


def _failed(reason: str, path: NodePath) -> ManagementError:
    return ManagementError(ErrorTag.OPERATION_FAILED, reason, path)


def _check_classes(settings: Settings, former: Settings) -> None:
    if former.classes and not settings.classes:
        reason = "without a class there is nothing left to plan for"
        raise _failed(reason, settings_path("class"))


def _check_zones(settings: Settings, zones_in_use: Collection[str]) -> None:
    lost = sorted(set(zones_in_use) - set(settings.zones or ()))
    if lost:
        reason = f"proxies of the zone {lost[0]} have joined, and they would be left without a backend"
        raise _failed(reason, settings_path("zone"))


def _check_limits(configuration: Configuration) -> None:
    """The process may be given less than it was started with, not more."""
    limits = configuration.get("limits") or {}
    maxima = configuration.get("configured_limits") or {}
    exceeded = sorted(name for name, limit in limits.items() if limit > maxima.get(name, limit))
    if exceeded:
        name = exceeded[0]
        reason = f"{name} is over the {maxima[name]} that this process was told"
        raise _failed(reason, settings_path("limits"))


def _check_channel(settings: Settings, proxies: int) -> None:
    """A drain's entry has to reach every proxy within the grace, or drained backends get transactions."""
    pace = settings.entries_per_s
    grace = settings.drain_grace
    entries = proxies * (ENTRIES_PER_ORDER + settings.effective_message_header)
    if pace and grace and entries / pace > grace / SECOND:
        reason = (
            f"one drain takes {entries / pace:.1f} s for {proxies} proxies at this pace, and "
            f"the grace is {grace // MILLISECOND} ms"
        )
        raise _failed(reason, settings_path("channel", "lines-per-second"))
    backlog = settings.backlog_limit
    if backlog and backlog < entries:
        reason = f"one drain takes {entries:.0f} lines for {proxies} proxies, more than the backlog may hold"
        raise _failed(reason, settings_path("channel", "backlog-limit"))
