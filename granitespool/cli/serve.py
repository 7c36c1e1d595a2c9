"""`serve`: one coordinator until SIGTERM."""

import signal
import sys

ENDS = signal.SIGTERM, signal.SIGINT
SIGNALS = *ENDS, signal.SIGHUP


def run(told):
    asked = []  # SIGHUPs before there is something that could be replaced
    former = {number: signal.getsignal(number) for number in SIGNALS}
    try:
        service = _started(told, asked)
    except Exception:  # the caller goes on, and answers signals as before
        for number, handler in former.items():
            signal.signal(number, handler)
        raise
    for number in ENDS:
        signal.signal(number, lambda *_: service.stop())
    signal.signal(signal.SIGHUP, lambda *_: service.reload())
    if asked:
        service.reload()
    service.run()
    return 0


def _started(told, asked):
    signal.signal(signal.SIGHUP, lambda *_: asked.append(True))
    for number in ENDS:
        signal.signal(number, lambda *_: sys.exit(0))  # nobody is owed anything yet
    # The files are read once SIGHUP is heard: one that is written anew and then told of is read now or then.
    # What takes long to import comes after, for the same reason.
    from granitespool.cli.files import read  # noqa: PLC0415
    from granitespool.net.service import Service  # noqa: PLC0415

    return Service(read(told), sys.stdout.fileno(), reread=lambda: read(told))
