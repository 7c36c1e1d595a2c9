"""The command `serve`: runs a coordinator until SIGTERM."""

import signal
import sys
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from granitespool.net.service import Service

TERMINATION_SIGNALS = signal.SIGTERM, signal.SIGINT
SIGNALS = *TERMINATION_SIGNALS, signal.SIGHUP


def run(arguments: Mapping[str, Any]) -> int:
    """Serve until a termination signal and return the exit code 0."""
    early_reloads: list[bool] = []  # one item for each SIGHUP that arrives before the service exists
    previous_handlers = {number: signal.getsignal(number) for number in SIGNALS}
    try:
        service = _create_service(arguments, early_reloads)
    except Exception:  # restore the signal handlers of the caller
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)
        raise
    for number in TERMINATION_SIGNALS:
        signal.signal(number, lambda *_: service.stop())
    signal.signal(signal.SIGHUP, lambda *_: service.reload())
    if early_reloads:
        service.reload()
    service.run()
    return 0


def _create_service(arguments: Mapping[str, Any], early_reloads: list[bool]) -> "Service":
    """Create the service; until it exists, SIGHUP is recorded and a termination signal ends the process."""
    signal.signal(signal.SIGHUP, lambda *_: early_reloads.append(True))
    for number in TERMINATION_SIGNALS:
        signal.signal(number, lambda *_: sys.exit(0))  # no work has started that would have to be finished
    # The files are read after the SIGHUP handler is installed, so that a change followed by SIGHUP is read
    # either now or by the reload. Slow modules are imported after that too, so that SIGHUP is recorded early.
    from granitespool.cli.files import load_configuration  # noqa: PLC0415
    from granitespool.net.service import Service  # noqa: PLC0415

    return Service(
        load_configuration(arguments),
        sys.stdout.fileno(),
        read_configuration=lambda: load_configuration(arguments),
    )
