"""Merge a file of differences into a site of the kit and write the complete variant for the bench.

    python -m bench.sites SITE DIFFERENCES...    a folder for each variant under deploy/sites/made

Git ignores that folder.

A file of differences contains only the changed keys (docs/sites.md). Each key has to exist in the site with a
value of the same type. The files that the bench reads beside a site are copied. With --bench that program
checks each variant; the reason of a rejection is printed.
"""

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
  --into=DIR       parent folder of the variants  [default: deploy/sites/made]
  --bench=PROGRAM  bench that has to accept each variant"""
COPIED = ("real.json", "wire.json", "unlock.txt")  # files that the bench reads beside a site
EXAMPLE_DAY = ("--rough", "calm+mass", "--nodes", "30")  # arguments of `fit`: one day of the site
TABLE = "a table"
TABLES = "a list of tables"
NUMBER = "a number"

Table = Mapping[str, Any]


class SiteError(GranitespoolError):
    """A site or a file of differences cannot be used; the error text is one sentence."""


def read_tables(path: str | Path) -> dict[str, Any]:
    """Return the tables of a TOML file; raise SiteError if it is unreadable or malformed."""
    try:
        return tomlkit.parse(Path(path).read_text(encoding="utf-8")).unwrap()
    except OSError as error:
        raise SiteError(f"{path} cannot be read: {error.strerror}") from None
    except (TOMLKitError, UnicodeDecodeError) as error:
        raise SiteError(f"{path} is not TOML: {error}") from None


def kind_of(value: object) -> str:
    """Return the kind of a value; a number and a range of numbers are of the same kind."""
    if isinstance(value, dict):
        return TABLE
    if isinstance(value, list) and value:
        if all(isinstance(item, dict) for item in value):
            return TABLES
        value = value[0]
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        return NUMBER
    return type(value).__name__


class Merge:
    """Merges the differences of one file into the tables of a site."""

    def __init__(self, path: str) -> None:
        """Create a merge; `path` is the file of differences, for error messages."""
        self.path = path

    def merge(self, site: Table, differences: Table, key_path: tuple[str, ...] = ()) -> dict[str, Any]:
        """Return the site's table with the differences applied.

        `key_path` contains the keys that lead to the table. Raises SiteError if a key or a type does not fit.
        """
        result = dict(site)
        for key, value in differences.items():
            self._check(site, key, value, key_path)
            result[key] = self._merge_value(site[key], value, (*key_path, key))
        return result

    def _check(self, site: Table, key: str, value: object, key_path: tuple[str, ...]) -> None:
        name = ".".join((*key_path, key))
        if key not in site:
            raise SiteError(f"{self.path}: the site has no key {name!r}")
        if kind_of(value) != kind_of(site[key]):
            raise SiteError(
                f"{self.path}: the key {name!r} is {kind_of(value)}, but the site has {kind_of(site[key])}"
            )

    def _merge_value(self, site_value: Any, value: Any, key_path: tuple[str, ...]) -> Any:  # noqa: ANN401 any TOML value
        if kind_of(site_value) == TABLE:
            return self.merge(site_value, value, key_path)
        if kind_of(site_value) == TABLES:
            return [self._merge_item(site_value, entry, index, key_path) for index, entry in enumerate(value)]
        return value

    def _merge_item(
        self, site_value: Sequence[Table], entry: Table, index: int, key_path: tuple[str, ...]
    ) -> dict[str, Any]:
        """Merge an item of a list of tables into the site's item at the same index, or its last one.

        A key is permitted if any item of the site's list has it.
        """
        base = site_value[min(index, len(site_value) - 1)]
        all_keys = {name: value for table in site_value for name, value in table.items()}
        item_path = (*key_path[:-1], f"{key_path[-1]}[{index}]")
        merged = self.merge({**all_keys, **base}, entry, item_path)
        return {name: value for name, value in merged.items() if name in entry or name in base}


def write_variant(site: str, differences: str, into: str) -> Path:
    """Write the variant and return the path of its site file; raise SiteError before anything is written."""
    variant = Merge(differences).merge(read_tables(site), read_tables(differences))
    name = Path(differences).stem
    site_folder = Path(site).parent
    missing = [file_name for file_name in COPIED if not (site_folder / file_name).is_file()]
    if missing:
        raise SiteError(f"{site} has no {missing[0]} beside it, which the bench reads")
    folder = Path(into) / name
    folder.mkdir(parents=True, exist_ok=True)
    for file_name in COPIED:
        shutil.copyfile(site_folder / file_name, folder / file_name)
    target = folder / f"{name}.toml"
    target.write_text(tomlkit.dumps({**variant, "name": name}), encoding="utf-8")
    return target


def check_accepted(site: Path, bench: str) -> None:
    """Check a site with the bench; raise SiteError with the bench's reason if the bench rejects the site."""
    command = [bench, "fit", str(site), *EXAMPLE_DAY]
    try:
        run = subprocess.run(command, capture_output=True, text=True, check=False)
    except OSError as error:
        raise SiteError(f"{bench} cannot be run: {error.strerror}") from None
    if run.returncode:
        raise SiteError(f"{site} is rejected by the bench: {(run.stderr or run.stdout).strip()}")


def main(argv: list[str]) -> int:
    """Write every variant, print its path and return the exit code."""
    arguments = docopt.docopt(USAGE, argv)
    try:
        for differences in arguments["DIFFERENCES"]:
            site = write_variant(arguments["SITE"], differences, arguments["--into"])
            if arguments["--bench"]:
                check_accepted(site, arguments["--bench"])
            print(site)
    except SiteError as error:
        print(f"sites: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
