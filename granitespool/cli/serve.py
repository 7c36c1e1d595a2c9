"""`serve`: one coordinator until SIGTERM."""
import signal
import sys

from granitespool.cli.files import read
from granitespool.net.service import Service


def run(told):
    config = read(told)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something that could be replaced
    service = Service(config, sys.stdout.fileno(), reread=lambda: read(told))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: service.stop())
    signal.signal(signal.SIGHUP, lambda *_: service.reload())
    service.run()
    return 0
