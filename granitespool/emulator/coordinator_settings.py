"""The settings that an experiment's coordinator is started with."""

from collections.abc import Sequence

from granitespool.emulator.schema import ClassSettings, ExperimentSetup
from granitespool.settings import Admission, RequestClass, Settings
from granitespool.units import MILLISECOND, SECOND

DRAIN_GRACE_PERIOD = 10 * SECOND  # ns
MAX_BACKLOG_SECONDS = 2  # s at the channel's pace that may wait in it
MESSAGE_HEADER_ENTRIES = 1  # table entries that each message costs beside its own


def channel_entry_rate(setup: ExperimentSetup, backends: int, proxies: int) -> float:
    """The channel's pace in table entries a second: a whole table for every proxy takes `binding_s`."""
    return backends * proxies / setup.channel.binding_s


def coordinator_settings(
    setup: ExperimentSetup, zones: Sequence[str], backends: int, proxies: int
) -> Settings:
    """The settings of a coordinator before so many backends and proxies."""
    pace = channel_entry_rate(setup, backends, proxies)
    return Settings(
        zones=list(zones),
        health_checks_allowed=True,
        admission=Admission.FRACTION,
        entries_per_s=pace,
        message_header=MESSAGE_HEADER_ENTRIES,
        backlog_limit=MAX_BACKLOG_SECONDS * pace,
        bootstrap_entries=backends,
        proxies_expected=proxies,
        drain_grace=DRAIN_GRACE_PERIOD,
        default_retries=0,
        warm_up_time=int(setup.fleet.cold_s * SECOND),
        warm_up_start_share=setup.fleet.cold_share,
        classes=[_request_class(name, each) for name, each in setup.classes.items()],
    )


def _request_class(name: str, settings: ClassSettings) -> RequestClass:
    return RequestClass(
        name=name,
        effect="free" if settings.again else "single_shot",
        latency_objective=int(settings.promised_ms * MILLISECOND),
        timeout=int(settings.limit_ms * MILLISECOND),
        priority_weight=settings.benefit,
    )
