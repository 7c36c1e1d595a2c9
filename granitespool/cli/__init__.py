"""granitespool: a central planner behind a layer of plain proxies.

Usage:
  granitespool [serve] [--config FILE] [--operator FILE]
  granitespool check [--config FILE] [--operator FILE]
  granitespool state (show | verify | compact) DIR
  granitespool keys make DIR [--name NAME]... [--user NAME]... [--days DAYS]
  granitespool keys show FILE...
  granitespool emulate list
  granitespool emulate run EXPERIMENT [--set KEY=VALUE]... [--json] [--plot FILE]
  granitespool scale list
  granitespool scale run SCENARIO [--set KEY=VALUE]... [--seed N] [--report FILE] [--plot FILE]
  granitespool scale plot PLOT REPORT...
  granitespool version
  granitespool (-h | --help)

Commands:
  serve    Serve as one coordinator until SIGTERM (the default); SIGHUP reads both files anew.
           The log goes to standard output.
  check    Read the configuration, the operator's settings or both, say in a line each what they hold, and
  end. state    Look after a state folder: show what is held and what would be believed now, verify that
  nothing of
           it is torn, or compact it to one snapshot.
  keys     Make a private authority, a server's and clients' certificates for trying out; or say of whom
           certificates are and when they end (exit code 1 where one has ended, or will within two weeks).
  emulate  Run an experiment in virtual time: a file, or a name that `emulate list` lists.
  scale    Play a scenario in real time on loopback, with real and hollow coordinators: a file, or a name that
           `scale list` lists (exit code 1 where a rule was broken or the run itself failed); or plot what
           coordinators cost against the size of the fleet, from reports of several runs.
  version  Print the version.

Options:
  --config FILE    The configuration; without it LB_CONFIG names the file.
  --operator FILE  The operator's settings, an INI file (deploy/granitespool.ini shows every key); without it
                   GRANITESPOOL_OPERATOR names the file, or all that it could set is off.
  --name NAME      A name or address that the server is reached by [default: 127.0.0.1].
  --user NAME      A client's common name [default: operations].
  --days DAYS      How long certificates hold [default: 90].
  --set KEY=VALUE  Another value for a key of the experiment or scenario.
  --seed N         Another seed for the scenario.
  --report FILE    The scenario's whole report as JSON, beside the table.
  --json           The result as JSON instead of a table.
  --plot FILE      A plot of the result as PNG, SVG or PDF; needs the extra `plot`.
  -h --help        This text.
"""

import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from docopt import DocoptExit, docopt

from granitespool import __version__
from granitespool.errors import GranitespoolError

EXIT_FAILURE = 1  # exit code where something that was read cannot be used
EXIT_USAGE = 2  # exit code where the call itself is wrong


KNOWN_OPTIONS = {
    "--config",
    "--operator",
    "--set",
    "--json",
    "--seed",
    "--report",
    "--plot",
    "--name",
    "--user",
    "--days",
    "-h",
    "--help",
}
Arguments = Mapping[str, Any]  # docopt's
Command = Callable[[Arguments], int]  # returns the exit code


def main(argv: Sequence[str] | None = None) -> int:
    """Run one call and return its exit code; what a command alone needs is imported by it."""
    words = sys.argv[1:] if argv is None else list(argv)
    try:
        arguments = docopt(__doc__, words)
    except DocoptExit:
        # the library's own words about a wrong call are a warning of several lines; ours is one sentence
        print(f"granitespool: {_misuse(words)}\n\n{_usage()}", file=sys.stderr)
        return EXIT_USAGE
    except SystemExit:  # --help, printed
        return 0
    try:
        return _command(arguments)(arguments)
    except (GranitespoolError, OSError) as error:
        print(f"granitespool: {error}", file=sys.stderr)
        return EXIT_FAILURE


def _command(arguments: Arguments) -> Command:
    run: Command
    if arguments["version"]:
        return _version
    if arguments["state"]:
        from granitespool.cli.state import run  # noqa: PLC0415
    elif arguments["keys"]:
        from granitespool.cli.keys import run  # noqa: PLC0415
    elif arguments["emulate"]:
        from granitespool.cli.emulate import run  # noqa: PLC0415
    elif arguments["scale"]:
        from granitespool.cli.scale import run  # noqa: PLC0415
    elif arguments["check"]:
        from granitespool.cli.check import run  # noqa: PLC0415
    else:
        from granitespool.cli.serve import run  # noqa: PLC0415
    return run


def _version(_: Arguments) -> int:
    print(f"granitespool {__version__}")
    return 0


def _usage() -> str:
    return (
        (__doc__ or "").partition("Usage:\n")[2].partition("\nCommands:")[0].join(("Usage:\n", "")).rstrip()
    )


def _misuse(argv: Sequence[str]) -> str:
    """One sentence about a call that fits no line of the usage."""
    known = {word for line in _usage().splitlines()[1:] for word in line.split()[1:2] if word.isalpha()}
    known |= {"serve"}
    first = next((word for word in argv if not word.startswith("-")), None)
    if first is not None and first not in known and argv[0] == first:
        return f"there is no command {first!r:.60}"
    options = {word.partition("=")[0] for word in argv if word.startswith("-")}
    unknown = sorted(options - KNOWN_OPTIONS)
    if unknown:
        return f"there is no option {unknown[0]!r:.60}"
    return "the call fits no line of the usage: " + (" ".join(argv)[:100] or "nothing")
