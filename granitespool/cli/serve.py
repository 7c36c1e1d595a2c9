"""`serve`: one coordinator until SIGTERM."""

import signal
import sys
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from granitespool.net.service import Service

TERMINATION_SIGNALS = signal.SIGTERM, signal.SIGINT
SIGNALS = *TERMINATION_SIGNALS, signal.SIGHUP


def run(arguments: Mapping[str, Any]) -> int:
    """Serve until a termination signal; the exit code is 0."""
    early_reloads: list[bool] = []  # a SIGHUP each, before there is something that could be replaced
    former = {number: signal.getsignal(number) for number in SIGNALS}
    try:
        service = _started(arguments, early_reloads)
    except Exception:  # the caller goes on, and answers signals as before
        for number, handler in former.items():
            signal.signal(number, handler)
        raise
    for number in TERMINATION_SIGNALS:
        signal.signal(number, lambda *_: service.stop())
    signal.signal(signal.SIGHUP, lambda *_: service.reload())
    if early_reloads:
        service.reload()
    service.run()
    return 0


def _started(arguments: Mapping[str, Any], early_reloads: list[bool]) -> "Service":
    """The service, made with signals heard: SIGHUP is noted, a termination signal ends the process."""
    signal.signal(signal.SIGHUP, lambda *_: early_reloads.append(True))
    for number in TERMINATION_SIGNALS:
        signal.signal(number, lambda *_: sys.exit(0))  # nobody is owed anything yet
    # The files are read once SIGHUP is heard: one that is written anew and then told of is read now or then.
    # What takes long to import comes after, for the same reason.
    from granitespool.cli.files import load_configuration  # noqa: PLC0415
    from granitespool.net.service import Service  # noqa: PLC0415

    return Service(
        load_configuration(arguments),
        sys.stdout.fileno(),
        read_configuration=lambda: load_configuration(arguments),
    )
