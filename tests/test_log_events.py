"""Compare the log events in the code with the table of docs/on-call.md."""

import ast
import pathlib
import re
from collections import defaultdict

ROOT = pathlib.Path(__file__).parents[1]
PACKAGE = ROOT / "granitespool"
TABLE = ROOT / "docs" / "on-call.md"
LOG_METHODS = {"event", "rate_limited_event"}  # methods of the log
# The writer runs in a thread of its own. Its method reports events, which the loop writes to the log.
WRITER_MODULE = "state/writer.py"
WRITER_METHOD = "_report"
LOG_MODULE = "net/log.py"
FORWARDING_MODULES = {LOG_MODULE, "state/snapshotter.py"}  # modules that get the event name as an argument
FIELD_PAGES = {"metrics": ROOT / "docs" / "fleet.md"}  # page with an event's fields, if not `TABLE`


def receiver_name(call: ast.Call) -> str:
    """Return the last name of the expression before the method name, or "" if it has no name."""
    owner = call.func.value
    return owner.attr if isinstance(owner, ast.Attribute) else getattr(owner, "id", "")


def is_log_call(module: str, call: ast.Call) -> bool:
    """Return whether a call writes a log event, directly or through the writer thread."""
    if not isinstance(call.func, ast.Attribute):
        return False
    if call.func.attr in LOG_METHODS:
        return receiver_name(call) == ("self" if module == LOG_MODULE else "log")
    return (module, call.func.attr) == (WRITER_MODULE, WRITER_METHOD)


def log_calls() -> list[tuple[str, ast.Call]]:
    """Return (module path in the package, call) for each call that writes a log event."""
    calls = []
    for path in sorted(PACKAGE.rglob("*.py")):
        module = path.relative_to(PACKAGE).as_posix()
        nodes = ast.walk(ast.parse(path.read_text()))
        calls += [
            (module, node) for node in nodes if isinstance(node, ast.Call) and is_log_call(module, node)
        ]
    return calls


def written_events() -> dict[str, set[str]]:
    """Return {event: fields} of all calls with a literal event name."""
    events: dict[str, set[str]] = defaultdict(set)
    for _, call in log_calls():
        name = call.args[0] if call.args else None
        if isinstance(name, ast.Constant) and isinstance(name.value, str):
            events[name.value].update(keyword.arg for keyword in call.keywords if keyword.arg)
    return events


def field_names(cell: str) -> set[str]:
    """Return the field names in a cell of the table; text in parentheses explains fields and is skipped."""
    while (shorter := re.sub(r"\([^()]*\)", "", cell)) != cell:
        cell = shorter
    return set(re.findall(r"`([a-z_]+)`", cell))


def table_rows() -> list[list[str]]:
    """Return the cells of each row of the table: event, former name, fields, meaning, action."""
    section = TABLE.read_text().split("## Every event of the log\n")[1]
    lines = [line for line in section.splitlines() if line.startswith("| `")]
    return [[cell.strip() for cell in line.split("|")[1:-1]] for line in lines]


def documented_events() -> dict[str, set[str]]:
    """Return {event: fields} of the operators' table."""
    return {row[0].strip("`"): field_names(row[2]) for row in table_rows()}


def test_the_code_and_the_table_have_the_same_events():
    assert sorted(written_events()) == sorted(documented_events())


def test_the_table_has_the_fields_that_the_code_writes():
    fields, table = written_events(), documented_events()
    for event, page in FIELD_PAGES.items():
        section = page.read_text().split("## The line\n")[1].split("\n## ")[0]
        rows = [line.split("|")[1] for line in section.splitlines() if line.startswith("| `")]
        table[event] = {name for row in rows for name in re.findall(r"`([a-z_]+)`", row)}
    assert {event: sorted(names) for event, names in fields.items()} == {
        event: sorted(names) for event, names in table.items()
    }


def test_only_forwarding_modules_write_an_event_whose_name_is_not_a_literal():
    modules = {
        module for module, call in log_calls() if not (call.args and isinstance(call.args[0], ast.Constant))
    }
    assert modules <= FORWARDING_MODULES


def test_each_row_has_a_meaning_and_an_action():
    for row in table_rows():
        assert len(row) == 5, row
        assert row[3], row
        assert row[4], row


def test_no_former_name_is_a_current_event():
    former_names = {name for row in table_rows() for name in re.findall(r"`([a-z_]+)`", row[1])}
    assert not former_names & set(documented_events())
