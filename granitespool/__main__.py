"""granitespool: a central planner behind a layer of plain proxies.

Usage:
  granitespool [serve] [--config FILE]
  granitespool check [--config FILE]
  granitespool version
  granitespool (-h | --help)

Commands:
  serve    Serve as one coordinator until SIGTERM (the default); SIGHUP reads the configuration anew.
           The log goes to standard output.
  check    Read the configuration, say in one line what it holds, and end.
  version  Print the version.

Options:
  --config FILE  The configuration; without it LB_CONFIG names the file.
  -h --help      This text.
"""
import os
import signal
import sys

from docopt import docopt

from granitespool import __version__
from granitespool.net import config
from granitespool.net.service import Service
from granitespool.settings import BadInput


def main(argv=None):
    told = docopt(__doc__, argv)
    if told["version"]:
        print(f"granitespool {__version__}")
        return 0
    path = told["--config"] or os.environ.get("LB_CONFIG")
    try:
        read = config.load(path)
        if told["check"]:
            print(config.summary(read))
            return 0
        signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something that could be replaced
        service = Service(read, sys.stdout.fileno(), reread=lambda: config.load(path))
    except (BadInput, OSError) as error:
        print(f"granitespool: {error}", file=sys.stderr)
        return 1
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: service.stop())
    signal.signal(signal.SIGHUP, lambda *_: service.reload())
    service.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
