"""Lays a file of differences over a site of the kit and writes the whole variant, ready for the bench.

    python -m bench.sites SITE DIFFERENCES...    a folder a variant under deploy/sites/made, which git ignores

A file of differences holds just what is other (docs/sites.md). It may name no key that the site has not, nor
give one another type. Beside the variant stand copies of the files that the bench reads there. With --bench
that program is asked whether it takes the variant; its reason is told where it does not."""

import shutil
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import docopt
import tomlkit
from tomlkit.exceptions import TOMLKitError

from granitespool.errors import GranitespoolError

USAGE = """Usage: sites SITE DIFFERENCES... [--into=DIR] [--bench=PROGRAM]

Options:
  --into=DIR       where the variants' folders are made  [default: deploy/sites/made]
  --bench=PROGRAM  ask this bench whether it takes each variant"""
COPIED = ("real.json", "wire.json", "unlock.txt")  # what the bench reads beside a site
EXAMPLE_DAY = ("--rough", "calm+mass", "--nodes", "30")  # a day that the bench draws of a site that it takes
TABLE = "a table"
TABLES = "a list of tables"
FIGURE = "a figure"

Table = Mapping[str, Any]


class SiteError(GranitespoolError):
    """A file that cannot be used, in one sentence."""


def read(path: str | Path) -> dict[str, Any]:
    """The tables of a TOML file; raises SiteError."""
    try:
        return tomlkit.parse(Path(path).read_text(encoding="utf-8")).unwrap()
    except OSError as error:
        raise SiteError(f"{path} cannot be read: {error.strerror}") from None
    except (TOMLKitError, UnicodeDecodeError) as error:
        raise SiteError(f"{path} is not TOML: {error}") from None


def kind(value: object) -> str:
    """What a value may be replaced by: a figure by a range of figures, too, as the bench draws from those."""
    if isinstance(value, dict):
        return TABLE
    if isinstance(value, list) and value:
        if all(isinstance(each, dict) for each in value):
            return TABLES
        value = value[0]
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        return FIGURE
    return type(value).__name__


class Overlay:
    """Lays differences of one file over tables of a site."""

    def __init__(self, path: str) -> None:
        """`path`: the file, for sentences."""
        self.path = path

    def laid(self, site: Table, differences: Table, where: tuple[str, ...] = ()) -> dict[str, Any]:
        """The site's table with the differences laid over it; raises SiteError.

        `where`: the keys that lead to the table."""
        result = dict(site)
        for key, value in differences.items():
            self._check(site, key, value, where)
            result[key] = self._value(site[key], value, (*where, key))
        return result

    def _check(self, site: Table, key: str, value: object, where: tuple[str, ...]) -> None:
        name = ".".join((*where, key))
        if key not in site:
            raise SiteError(f"{self.path}: the site has no key {name!r}")
        if kind(value) != kind(site[key]):
            raise SiteError(
                f"{self.path}: the key {name!r} holds {kind(value)}, and the site has {kind(site[key])} there"
            )

    def _value(self, known: Any, value: Any, where: tuple[str, ...]) -> Any:  # noqa: ANN401 any TOML value
        if kind(known) == TABLE:
            return self.laid(known, value, where)
        if kind(known) == TABLES:
            return [self._entry(known, entry, at, where) for at, entry in enumerate(value)]
        return value

    def _entry(self, known: Sequence[Table], entry: Table, at: int, where: tuple[str, ...]) -> dict[str, Any]:
        """An entry of a list of tables, over the site's at its place or the last of the site's."""
        own = known[min(at, len(known) - 1)]
        every = {name: value for table in known for name, value in table.items()}
        place = (*where[:-1], f"{where[-1]}[{at}]")
        laid = self.laid({**every, **own}, entry, place)
        return {name: value for name, value in laid.items() if name in entry or name in own}


def make(site: str, differences: str, into: str) -> Path:
    """Writes the variant; returns the path of its site file. Nothing is written where anything is wrong."""
    whole = Overlay(differences).laid(read(site), read(differences))
    name = Path(differences).stem
    folder_of_site = Path(site).parent
    missing = [beside for beside in COPIED if not (folder_of_site / beside).is_file()]
    if missing:
        raise SiteError(f"{site} has no {missing[0]} beside it, which the bench reads there")
    folder = Path(into) / name
    folder.mkdir(parents=True, exist_ok=True)
    for beside in COPIED:
        shutil.copyfile(folder_of_site / beside, folder / beside)
    target = folder / f"{name}.toml"
    target.write_text(tomlkit.dumps({**whole, "name": name}), encoding="utf-8")
    return target


def check_taken(site: Path, bench: str) -> None:
    """Raises SiteError with the bench's own reason where it does not take this site."""
    command = [bench, "fit", str(site), *EXAMPLE_DAY]
    try:
        run = subprocess.run(command, capture_output=True, text=True, check=False)
    except OSError as error:
        raise SiteError(f"{bench} cannot be run: {error.strerror}") from None
    if run.returncode:
        raise SiteError(f"{site} is refused by the bench: {(run.stderr or run.stdout).strip()}")


def main(words: list[str]) -> int:
    """Makes every variant and prints its path; the exit code."""
    arguments = docopt.docopt(USAGE, words)
    try:
        for differences in arguments["DIFFERENCES"]:
            site = make(arguments["SITE"], differences, arguments["--into"])
            if arguments["--bench"]:
                check_taken(site, arguments["--bench"])
            print(site)
    except SiteError as error:
        print(f"sites: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
