"""granitespool: a central load-balancing planner for a layer of proxies.

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
  granitespool scale soak [--seed N] [--count N]
  granitespool scale plot PLOT REPORT...
  granitespool version
  granitespool (-h | --help)

Commands:
  serve    Run a coordinator until SIGTERM (the default); SIGHUP reloads both files.
           The log is written to standard output.
  check    Validate the configuration, the operator's settings or both, and print a summary line of each.
  state    Show the contents of a state folder and the values that a start would restore now; verify that no
           file is corrupt; or replace all files by one snapshot.
  keys     Make a private authority with server and client certificates for tests; or show the subject and
           the expiry of certificates (exit code 1 if one has expired or expires within two weeks).
  emulate  Run an experiment in virtual time: a file, or a name that `emulate list` prints.
  scale    Run a scenario in real time on loopback, with real and hollow coordinators: a file, or a name that
           `scale list` prints (exit code 1 if a rule was violated or the run itself failed); or the drawn
           scenarios of a soak, one seed after the other; or plot the cost of coordinators against the size of
           the fleet, from the reports of several runs.
  version  Print the version.

Options:
  --config FILE    Configuration file [environment: LB_CONFIG].
  --operator FILE  Operator's settings, an INI file (deploy/granitespool.ini lists every key)
                   [environment: GRANITESPOOL_OPERATOR]; without one, all optional subsystems are off.
  --name NAME      Host name or address of the server [default: 127.0.0.1].
  --user NAME      Common name of a client [default: operations].
  --days DAYS      Validity of the certificates in days [default: 90].
  --set KEY=VALUE  Override a key of the experiment or scenario.
  --seed N         Override the seed of the scenario; the first seed of a soak, which is 1 otherwise.
  --count N        Number of seeds of a soak [default: 1].
  --report FILE    Write the full report of the scenario as JSON, in addition to the table.
  --json           Print the result as JSON instead of a table.
  --plot FILE      Plot the result as PNG, SVG or PDF; needs the extra `plot`.
  -h --help        Show this text.
"""

import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from docopt import DocoptExit, docopt

from granitespool import __version__
from granitespool.errors import GranitespoolError

EXIT_FAILURE = 1  # exit code if the command failed
EXIT_USAGE = 2  # exit code if the command line is invalid


KNOWN_OPTIONS = {
    "--config",
    "--operator",
    "--set",
    "--json",
    "--seed",
    "--count",
    "--report",
    "--plot",
    "--name",
    "--user",
    "--days",
    "-h",
    "--help",
}
Arguments = Mapping[str, Any]  # as parsed by docopt
Command = Callable[[Arguments], int]  # returns the exit code


def main(argv: Sequence[str] | None = None) -> int:
    """Run a command and return its exit code."""
    words = sys.argv[1:] if argv is None else list(argv)
    try:
        arguments = docopt(__doc__, words)
    except DocoptExit:
        # The message of docopt has several lines; print one sentence and the usage instead.
        print(f"granitespool: {_usage_error(words)}\n\n{_usage()}", file=sys.stderr)
        return EXIT_USAGE
    except SystemExit:  # raised by docopt after it has printed the help
        return 0
    try:
        return _select_command(arguments)(arguments)
    except (GranitespoolError, OSError) as error:
        print(f"granitespool: {error}", file=sys.stderr)
        return EXIT_FAILURE


def _select_command(arguments: Arguments) -> Command:
    # Modules that only one command needs are imported when that command runs.
    run: Command
    if arguments["version"]:
        return _print_version
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


def _print_version(_: Arguments) -> int:
    print(f"granitespool {__version__}")
    return 0


def _usage() -> str:
    return (
        (__doc__ or "").partition("Usage:\n")[2].partition("\nCommands:")[0].join(("Usage:\n", "")).rstrip()
    )


def _usage_error(argv: Sequence[str]) -> str:
    """Return one sentence that explains why a command line does not match the usage."""
    known = {word for line in _usage().splitlines()[1:] for word in line.split()[1:2] if word.isalpha()}
    known |= {"serve"}
    first = next((word for word in argv if not word.startswith("-")), None)
    if first is not None and first not in known and argv[0] == first:
        return f"there is no command {first!r:.60}"
    options = {word.partition("=")[0] for word in argv if word.startswith("-")}
    unknown = sorted(options - KNOWN_OPTIONS)
    if unknown:
        return f"there is no option {unknown[0]!r:.60}"
    return "the command line does not match the usage: " + (" ".join(argv)[:100] or "no arguments")
