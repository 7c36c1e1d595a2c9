"""Lays a file of differences over a site of the kit and writes the whole variant, ready for the bench.

    python -m bench.sites SITE DIFFERENCES...    a folder a variant under deploy/sites/made, which git ignores

A file of differences holds just what is other (docs/sites.md). It may name no key that the site has not, nor
give one another type. Beside the variant stand copies of the files that the bench reads there. With --bench
that program is asked whether it takes the variant; its reason is told where it does not."""

import shutil
import subprocess
import sys
from pathlib import Path

import docopt
import tomlkit
from tomlkit.exceptions import TOMLKitError

USAGE = """Usage: sites SITE DIFFERENCES... [--into=DIR] [--bench=PROGRAM]

Options:
  --into=DIR       where the variants' folders are made  [default: deploy/sites/made]
  --bench=PROGRAM  ask this bench whether it takes each variant"""
BESIDE = "real.json", "wire.json", "unlock.txt"  # what the bench reads beside a site
FIGURE = int, float
ASKED = "--rough", "calm+mass", "--nodes", "30"  # a day that the bench draws of a site that it takes


class Wrong(Exception):
    """A file that cannot be used, in one sentence."""


def read(path):
    try:
        return tomlkit.parse(Path(path).read_text(encoding="utf-8")).unwrap()
    except OSError as error:
        raise Wrong(f"{path} cannot be read: {error.strerror}") from None
    except (TOMLKitError, UnicodeDecodeError) as error:
        raise Wrong(f"{path} is not TOML: {error}") from None


def kind(value):
    """What a value may be replaced by: a figure by a range of figures, too, as the bench draws from those."""
    if isinstance(value, list) and value and all(isinstance(each, dict) for each in value):
        return "a list of tables"
    if isinstance(value, dict):
        return "a table"
    first = value[0] if isinstance(value, list) and value else value
    return "a figure" if isinstance(first, FIGURE) and not isinstance(first, bool) else type(first).__name__


def laid(site, other, path, where=()):
    """The site's table with the differences of `other` laid over it."""
    result = dict(site)
    for key, value in other.items():
        at = ".".join((*where, key))
        if key not in site:
            raise Wrong(f"{path}: the site has no key {at!r}")
        known = site[key]
        if kind(value) != kind(known):
            raise Wrong(f"{path}: the key {at!r} holds {kind(value)}, and the site has {kind(known)} there")
        if kind(known) == "a table":
            result[key] = laid(known, value, path, (*where, key))
        elif kind(known) == "a list of tables":  # as many as are named, each over the site's at its place
            every = {name: each for entry in known for name, each in entry.items()}
            result[key] = [
                {
                    name: each
                    for name, each in laid(
                        {**every, **known[min(at, len(known) - 1)]}, entry, path, (*where, f"{key}[{at}]")
                    ).items()
                    if name in entry or name in known[min(at, len(known) - 1)]
                }
                for at, entry in enumerate(value)
            ]
        else:
            result[key] = value
    return result


def made(site, differences, into):
    """Writes the variant; returns the path of its site file. Nothing is written where anything is wrong."""
    whole = laid(read(site), read(differences), differences)
    name = Path(differences).stem
    missing = [beside for beside in BESIDE if not (Path(site).parent / beside).is_file()]
    if missing:
        raise Wrong(f"{site} has no {missing[0]} beside it, which the bench reads there")
    folder = Path(into) / name
    folder.mkdir(parents=True, exist_ok=True)
    for beside in BESIDE:
        shutil.copyfile(Path(site).parent / beside, folder / beside)
    target = folder / f"{name}.toml"
    target.write_text(tomlkit.dumps({**whole, "name": name}), encoding="utf-8")
    return target


def taken(site, bench):
    """Ends in the bench's own reason where it does not take this site."""
    try:
        run = subprocess.run([bench, "fit", str(site), *ASKED], capture_output=True, text=True, check=False)
    except OSError as error:
        raise Wrong(f"{bench} cannot be run: {error.strerror}") from None
    if run.returncode:
        raise Wrong(f"{site} is refused by the bench: {(run.stderr or run.stdout).strip()}")


def main(words):
    told = docopt.docopt(USAGE, words)
    try:
        for differences in told["DIFFERENCES"]:
            site = made(told["SITE"], differences, told["--into"])
            if told["--bench"]:
                taken(site, told["--bench"])
            print(site)
    except Wrong as error:
        print(f"sites: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
