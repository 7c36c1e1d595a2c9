"""Turns the termination signals into exceptions, so that a run cleans up."""

import signal
from collections.abc import Generator
from contextlib import contextmanager, suppress

EXIT_BASE = 128  # added to the signal's number for the exit code, as shells do
ENDING_SIGNALS = (signal.SIGTERM, signal.SIGHUP)


@contextmanager
def exit_on_signals() -> Generator[None, None, None]:
    """Return a context in which SIGTERM and SIGHUP raise SystemExit, as Ctrl-C raises KeyboardInterrupt."""

    def end(number: int, _: object) -> None:
        raise SystemExit(EXIT_BASE + number)

    previous_handlers = {}
    with suppress(ValueError):  # only the main thread may set signal handlers
        previous_handlers = {number: signal.signal(number, end) for number in ENDING_SIGNALS}
    try:
        yield
    finally:
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)
