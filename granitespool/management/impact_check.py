"""What a change of settings would break, and what of it waits for a restart; no I/O.

The module's types and musts are checked before; here stands what depends on the coordinator as it is now."""

from granitespool.management.errors import Refused
from granitespool.management.mapping import settings_path
from granitespool.units import MILLISECOND

SECOND = 1_000_000_000
LINE = 2  # lines that one order to one proxy takes beside its head: the line and its mark


def check(new, old, proxies, zones_in_use, waits):
    """Refused where the configuration `new` must not take the place of `old`. `proxies`: how many have
    joined; `zones_in_use`: of proxies that have; `waits`: names of settings that differ and wait for a
    restart."""
    settings = new["settings"]
    if old["settings"].classes and not settings.classes:
        raise Refused(
            "operation-failed", "without a class there is nothing left to plan for", settings_path("class")
        )
    lost = sorted(zones_in_use - set(settings.zones or ()))
    if lost:
        raise Refused(
            "operation-failed",
            f"proxies of the zone {lost[0]} have joined, and they would be left without a backend",
            settings_path("zone"),
        )
    told = new.get("limits_told") or {}
    over = sorted(name for name, limit in (new.get("limits") or {}).items() if limit > told.get(name, limit))
    if over:
        raise Refused(
            "operation-failed",
            f"{over[0]} is over the {told[over[0]]} that this process was told",
            settings_path("limits"),
        )
    _channel(settings, proxies)
    if waits:
        raise Refused(
            "operation-failed",
            f"{', '.join(waits)} cannot change while the coordinator runs: put it into startup, and restart",
            settings_path(),
        )


def _channel(settings, proxies):
    """A drain must be kept: its line has to reach every proxy within the grace, or drained backends get
    transactions. Harm: none, a slower channel breaks the rule at once."""
    pace, grace = settings.entries_per_s, settings.drain_grace
    lines = proxies * (LINE + settings.effective_message_header)
    if pace and grace and lines / pace > grace / SECOND:
        raise Refused(
            "operation-failed",
            f"one drain takes {lines / pace:.1f} s for {proxies} proxies at this pace, and "
            f"the grace is {grace // MILLISECOND} ms",
            settings_path("channel", "lines-per-second"),
        )
    backlog = settings.backlog_limit
    if backlog and backlog < lines:
        raise Refused(
            "operation-failed",
            f"one drain takes {lines:.0f} lines for {proxies} proxies, more than the backlog may hold",
            settings_path("channel", "backlog-limit"),
        )
