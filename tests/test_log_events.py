"""The log's events as the code writes them, against the table of docs/on-call.md."""

import ast
import pathlib
import re
from collections import defaultdict

ROOT = pathlib.Path(__file__).parents[1]
PACKAGE = ROOT / "granitespool"
TABLE = ROOT / "docs" / "on-call.md"
LOG_METHODS = {"event", "rate_limited_event"}  # of the log itself
WRITER_MODULE = "state/writer.py"  # a thread, whose reports the loop writes to the log
WRITER_METHOD = "_report"
LOG_MODULE = "net/log.py"
FORWARDING = {LOG_MODULE, "state/snapshotter.py"}  # these pass on an event whose name they are given
FIELDS_ELSEWHERE = {"metrics": ROOT / "docs" / "fleet.md"}  # events whose fields have a page of their own


def receiver(call: ast.Call) -> str:
    """The last name of what a method is called on, "" where it is no name."""
    owner = call.func.value
    return owner.attr if isinstance(owner, ast.Attribute) else getattr(owner, "id", "")


def is_log_call(module: str, call: ast.Call) -> bool:
    """Whether this call writes a line of the log, or has one written."""
    if not isinstance(call.func, ast.Attribute):
        return False
    if call.func.attr in LOG_METHODS:
        return receiver(call) == ("self" if module == LOG_MODULE else "log")
    return (module, call.func.attr) == (WRITER_MODULE, WRITER_METHOD)


def log_calls() -> list[tuple[str, ast.Call]]:
    """Each call that writes a line of the log, with the module's path in the package."""
    calls = []
    for path in sorted(PACKAGE.rglob("*.py")):
        module = path.relative_to(PACKAGE).as_posix()
        nodes = ast.walk(ast.parse(path.read_text()))
        calls += [
            (module, node) for node in nodes if isinstance(node, ast.Call) and is_log_call(module, node)
        ]
    return calls


def written() -> dict[str, set[str]]:
    """{event: its fields} of all calls with a literal name."""
    events: dict[str, set[str]] = defaultdict(set)
    for _, call in log_calls():
        name = call.args[0] if call.args else None
        if isinstance(name, ast.Constant) and isinstance(name.value, str):
            events[name.value].update(keyword.arg for keyword in call.keywords if keyword.arg)
    return events


def field_names(cell: str) -> set[str]:
    """The fields of a table's cell; what stands in parentheses is about them."""
    while (shorter := re.sub(r"\([^()]*\)", "", cell)) != cell:
        cell = shorter
    return set(re.findall(r"`([a-z_]+)`", cell))


def table_rows() -> list[list[str]]:
    """The cells of each row of the table: event, former name, fields, meaning, what to do."""
    section = TABLE.read_text().split("## Every event of the log\n")[1]
    lines = [line for line in section.splitlines() if line.startswith("| `")]
    return [[cell.strip() for cell in line.split("|")[1:-1]] for line in lines]


def documented() -> dict[str, set[str]]:
    """{event: its fields} of the table."""
    return {row[0].strip("`"): field_names(row[2]) for row in table_rows()}


def test_each_event_in_the_code_is_in_the_table_and_the_other_way_round():
    assert sorted(written()) == sorted(documented())


def test_the_table_has_the_fields_that_the_code_writes():
    fields, table = written(), documented()
    for event, page in FIELDS_ELSEWHERE.items():
        section = page.read_text().split("## The line\n")[1].split("\n## ")[0]
        rows = [line.split("|")[1] for line in section.splitlines() if line.startswith("| `")]
        table[event] = {name for row in rows for name in re.findall(r"`([a-z_]+)`", row)}
    assert {event: sorted(names) for event, names in fields.items()} == {
        event: sorted(names) for event, names in table.items()
    }


def test_only_forwarding_modules_write_an_event_whose_name_is_no_literal():
    others = {
        module for module, call in log_calls() if not (call.args and isinstance(call.args[0], ast.Constant))
    }
    assert others <= FORWARDING


def test_each_row_says_what_the_event_means_and_what_to_do():
    for row in table_rows():
        assert len(row) == 5, row
        assert row[3], row
        assert row[4], row


def test_no_former_name_is_an_event_of_today():
    former = {name for row in table_rows() for name in re.findall(r"`([a-z_]+)`", row[1])}
    assert not former & set(documented())
