"""Settings of the coordinator in an experiment."""

from collections.abc import Sequence

from granitespool.emulator.schema import ClassSettings, ExperimentSetup
from granitespool.settings import Admission, RequestClass, Settings
from granitespool.units import MILLISECOND, SECOND

DRAIN_GRACE_PERIOD = 10 * SECOND  # ns
MAX_BACKLOG_SECONDS = 2  # the channel's queue is limited to what is sent in this time (s)
MESSAGE_HEADER_ENTRIES = 1  # size of a message without its entries, in table entries


def channel_entry_rate(setup: ExperimentSetup, backends: int, proxies: int) -> float:
    """Return the channel's rate in table entries per second.

    At this rate, sending a complete table to every proxy takes `binding_s`.
    """
    return backends * proxies / setup.channel.binding_s


def coordinator_settings(
    setup: ExperimentSetup, zones: Sequence[str], backends: int, proxies: int
) -> Settings:
    """Return the settings of a coordinator for the given numbers of backends and proxies."""
    entry_rate = channel_entry_rate(setup, backends, proxies)
    return Settings(
        zones=list(zones),
        health_checks_allowed=True,
        admission=Admission.FRACTION,
        entries_per_s=entry_rate,
        message_header=MESSAGE_HEADER_ENTRIES,
        backlog_limit=MAX_BACKLOG_SECONDS * entry_rate,
        bootstrap_entries=backends,
        proxies_expected=proxies,
        drain_grace=DRAIN_GRACE_PERIOD,
        default_retries=0,
        warm_up_time=int(setup.fleet.cold_s * SECOND),
        warm_up_start_share=setup.fleet.cold_share,
        classes=[_request_class(name, settings) for name, settings in setup.classes.items()],
    )


def _request_class(name: str, settings: ClassSettings) -> RequestClass:
    return RequestClass(
        name=name,
        effect="free" if settings.again else "single_shot",
        latency_objective=int(settings.promised_ms * MILLISECOND),
        timeout=int(settings.limit_ms * MILLISECOND),
        priority_weight=settings.benefit,
    )
