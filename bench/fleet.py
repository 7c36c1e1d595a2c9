"""Counts across coordinators: their logs put side by side on one time axis, a row a second.

    python -m bench.fleet LOG...            rows for all together
    python -m bench.fleet --each LOG...     and a row for each coordinator
    python -m bench.fleet --backends LOG... and the backends that carry no ordinary part

The logs need the operator's section [figures] (docs/fleet.md). Whatever stands before a line's first brace is
left out, so logs that something has stamped can be read as they are."""

import sys
from collections import Counter, defaultdict

import docopt
import orjson

USAGE = """Usage: fleet [--each] [--backends] [--from=S] [--to=S] LOG...

Options:
  --each      a row for each coordinator too
  --backends  the backends that carry no ordinary part, most tries first
  --from=S    seconds after the first line to begin at  [default: 0]
  --to=S      seconds after the first line to end at  [default: 1e9]"""
SECOND = 1_000  # ms of a row
SHOWN = 8  # backends shown of a row: the most tried
WHYS = "cold", "returning", "cut", "unproven", "missing", "draining", "gone"
COLUMNS = (  # title, key of the row, how it is written
    ("joined", "joined", "6d"),
    ("unbound", "unbound", "7d"),
    ("queue", "queue", "5.2f"),
    ("met", "met", "4.2f"),
    ("lines", "lines", "6.0f"),
    ("lag_s", "lag", "6.2f"),
    ("reports", "reports", "7d"),
    ("room", "room", "4.2f"),
    ("through", "through", "7.2f"),
    ("strained", "strained", "8d"),
    ("cut", "cut", "4d"),
    ("last", "last_resort", "4d"),
    ("list_s", "list", "6.1f"),
    ("turn_ms", "turn", "7.1f"),
    ("probes", "probes", "6d"),
)


def lines(data):
    """The events of one log; lines that are cut or no events are left out."""
    for line in data.splitlines():
        start = line.find(b"{")
        try:
            event = orjson.loads(line[start:]) if start >= 0 else None
        except ValueError:
            continue
        if isinstance(event, dict) and "at_ms" in event and "event" in event:
            yield event


def rows(logs):
    """{second: {name: row}} of {name: events}; a row holds the last figures in that second, what was counted
    within it, and how many lines and reports were new since the row before."""
    begin = min((event["at_ms"] for events in logs.values() for event in events), default=0)
    table = defaultdict(dict)
    for name, events in logs.items():
        before = Counter()
        for event in events:
            row = table[(event["at_ms"] - begin) // SECOND].setdefault(
                name, {"counted": Counter(), "figures": None}
            )
            row["counted"][event["event"]] += 1
            if event["event"] == "figures":
                row["figures"] = event
                row["new"] = {key: event[key] - before[key] for key in ("ordered", "reports")}
                before = Counter({key: event[key] for key in ("ordered", "reports")})
    return dict(sorted(table.items()))


def together(found):
    """One row of several coordinators: sums, and the worst of what is no sum."""
    told = [row["figures"] for row in found if row["figures"]]
    if not told:
        return None
    sums = {key: sum(each[key] for each in told) for key in ("joined", "unbound", "cut", "last_resort")}
    backends, by_why = defaultdict(lambda: [set(), 0.0, 0.0, 0]), Counter()
    for each in told:
        for name, (why, tries, failed, _) in each["backends"].items():
            met = backends[name]
            met[0].add(why)
            met[1:] = met[1] + tries, met[2] + failed, met[3] + 1
            by_why[why] += tries
    return {
        **sums,
        "queue": max(each["waiting"] / each["limit"] for each in told),
        "met": min(each["met"] / each["pace"] for each in told),
        "lag": max(each["lag_ms"] for each in told) / 1000,
        "lines": sum(row["new"]["ordered"] for row in found if row["figures"]),
        "reports": sum(row["new"]["reports"] for row in found if row["figures"]),
        "room": min(each["room"] for each in told),
        "through": min(each["through"] for each in told),
        "strained": sum(each["strained"] for each in told),
        "list": max(each["list_age_ms"] for each in told) / 1000,
        "turn": max(each["turn_us"] for each in told) / 1000,
        "tries": by_why,
        "backends": backends,
        "probes": sum(row["counted"]["probed"] for row in found),
    }


def shown(second, who, row):
    cells = (format(row[key], how).rjust(len(title)) for title, key, how in COLUMNS)
    return (
        f"{second:5d} {who:>8.8} "
        + " ".join(cells)
        + "  "
        + ", ".join(f"{row['tries'][why]:.0f}" for why in WHYS)
    )


def head():
    return (
        f"{'s':>5} {'who':>8} "
        + " ".join(title.rjust(len(format(0, how))) for title, _, how in COLUMNS)
        + "  tries to "
        + ", ".join(WHYS)
    )


def report(logs, each=False, backends=False, begin=0.0, end=1e9):
    """The text of all rows."""
    text = [head()]
    for second, found in rows(logs).items():
        row = together(found.values()) if begin <= second <= end else None
        if row is None:
            continue
        text.append(shown(second, "all", row))
        if each:
            text += [
                shown(second, name, one)
                for name, row_ in sorted(found.items())
                if (one := together([row_])) is not None
            ]
        if backends:
            most = sorted(row["backends"].items(), key=lambda pair: -pair[1][1])[:SHOWN]
            text += [
                f"{'':14} {name} {'/'.join(sorted(why))} at {count}: {tries:.0f} tries, {failed:.0f} failed"
                for name, (why, tries, failed, count) in most
            ]
    return "\n".join(text)


def main(words):
    told = docopt.docopt(USAGE, words)
    logs = {}
    for path in told["LOG"]:
        with open(path, "rb") as file:
            events = list(lines(file.read()))
        logs[next((event["name"] for event in events if "name" in event), path)] = events
    print(report(logs, told["--each"], told["--backends"], float(told["--from"]), float(told["--to"])))


if __name__ == "__main__":
    main(sys.argv[1:])
