"""Ends a run in good order where the program is asked to end."""

import signal
from collections.abc import Generator
from contextlib import contextmanager, suppress

EXIT_BASE = 128  # of the exit code after a signal, as shells have it
ENDING_SIGNALS = (signal.SIGTERM, signal.SIGHUP)


@contextmanager
def exit_on_signals() -> Generator[None, None, None]:
    """Within it SIGTERM and SIGHUP raise SystemExit, as Ctrl-C raises KeyboardInterrupt."""

    def end(number: int, _: object) -> None:
        raise SystemExit(EXIT_BASE + number)

    former = {}
    with suppress(ValueError):  # not in the main thread
        former = {number: signal.signal(number, end) for number in ENDING_SIGNALS}
    try:
        yield
    finally:
        for number, handler in former.items():
            signal.signal(number, handler)
