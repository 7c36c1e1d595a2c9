"""Names that leave the process, computed from the code, for comparison with docs/external-names.txt."""

import ast
import re
import types
import typing
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from pathlib import Path

import msgspec
from test_log_events import written_events

from bench.capacity import sweep
from granitespool import cli, operator_settings
from granitespool.emulator import report as emulator_report
from granitespool.emulator import schema as emulator_schema
from granitespool.endpoints import LOAD_METRICS, SIMULATOR_ENTRY, SOCKET_ENTRY, Phase, WireEntryNames
from granitespool.net.connection import Role
from granitespool.planner.events import HealthCheckOutcome, ListForm
from granitespool.planner.outbox import EntryKind
from granitespool.scale import report as scale_report
from granitespool.scale import schema as scale_schema
from granitespool.scale.checker.violation import Rule
from granitespool.settings import CLASS_FIELDS, SETTING_FIELDS, Admission
from granitespool.state import disk, store

PACKAGE = Path(__file__).parents[2] / "granitespool"
LIST = PACKAGE.parent / "docs" / "external-names.txt"
GROUP = re.compile(r"# \[(.+)\]")
NAME = re.compile(r"[A-Za-z][\w.:/-]*")
YANG_STATEMENTS = "container|list|leaf|leaf-list|rpc|notification|enum|typedef|grouping"
# Calls whose string argument is a key of an external object
READING_CALLS = {"get", "required_field", "required_number"}
# Strings of the encoding modules that do not leave the process: formats, codecs, parts of error messages
PRIVATE_WORDS = {
    "net/messages.py": set(),
    "net/frames.py": {"little"},
    "net/config.py": set(),
    "simulator_adapter.py": {"batch"},
    "netconf": {"container", "leaf", "leaf-list", "list", "root", "en", "ii", "gs", "gs:", "UTF-8"},
    "rpc/calls.py": {"H", "M", "S", "m", "n", "u", "Calls", "big"},
}


def listed() -> dict[str, set[str]]:
    """Return the names of the list by group."""
    groups: dict[str, set[str]] = {}
    group = ""
    for line in LIST.read_text().splitlines():
        if heading := GROUP.fullmatch(line.strip()):
            group = heading[1]
            groups[group] = set()
        elif name := line.split("#")[0].strip():
            groups[group].add(name)
    return groups


def computed() -> dict[str, Callable[[], set[str]]]:
    """Return, for each group that can be computed, the function that computes it."""
    return {
        "messages of the platform": partial(_words, "net/messages.py", "net/frames.py"),
        "entries of the endpoint list on sockets": partial(_entry_names, SOCKET_ENTRY),
        "entries of the endpoint list on the simulator's wire": partial(_entry_names, SIMULATOR_ENTRY),
        "load metrics": lambda: set(LOAD_METRICS),
        "keys of the settings": _settings_keys,
        "keys of the configuration": _configuration_keys,
        "events and actions of the simulator's adapter": partial(_words, "simulator_adapter.py"),
        "NETCONF": partial(_words, "netconf"),
        "gRPC": partial(_words, "rpc/calls.py"),
        "YANG nodes": _yang_names,
        "operator's INI file": _operator_keys,
        "experiments of the emulator": partial(
            _schema_keys,
            emulator_schema.SECTIONS,
            {emulator_schema.CLASS_SECTION_PREFIX: emulator_schema.ClassSettings},
        ),
        "scenarios of the scale run": partial(
            _schema_keys, scale_schema.SECTIONS, {scale_schema.EVENT_PREFIX: scale_schema.Event}
        ),
        "flags and sub-commands": _command_line_words,
        "log events": lambda: set(written_events()),
        "fields of log events": lambda: {field for fields in written_events().values() for field in fields},
        "values in log events": lambda: {*ListForm, *HealthCheckOutcome, *Role, *EntryKind},
        "files of the state folder": lambda: {disk.LOCK_NAME, store.INCOMPLETE_SUFFIX, _generation_prefix()},
        "JSON report of the emulator": lambda: set(_report_keys(emulator_report.Report)),
        "JSON report of the scale run": lambda: {
            "passed",
            *_report_keys(scale_report.Report),
            *typing.get_args(Rule),
        },
        "JSON of bench.capacity": lambda: set(_report_keys(sweep.Result)),
    }


def _words(*paths: str) -> set[str]:
    """Return the one-word strings of modules or folders of modules, without `PRIVATE_WORDS`."""
    found: set[str] = set()
    for path in paths:
        whole = PACKAGE / path
        for module in sorted(whole.rglob("*.py")) if whole.is_dir() else [whole]:
            found |= set(_module_words(ast.parse(module.read_text())))
        found -= PRIVATE_WORDS[path]
    return found


def _module_words(tree: ast.Module) -> Iterator[str]:
    passed_over = {id(part) for node in ast.walk(tree) for part in _prose(node)}
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and id(node) not in passed_over:
            if NAME.fullmatch(node.value) and node.value != "__main__":
                yield node.value


def _prose(node: ast.AST) -> Iterator[ast.AST]:
    """Yield the strings below a node that are sentences: doc strings, f-strings' parts and annotations."""
    if isinstance(node, ast.JoinedStr):
        yield from node.values
    for annotation in (getattr(node, "annotation", None), getattr(node, "returns", None)):
        if annotation is not None:
            yield from ast.walk(annotation)
    body = getattr(node, "body", None)
    if isinstance(body, list) and body and isinstance(body[0], ast.Expr):
        yield body[0].value


def _entry_names(names: WireEntryNames) -> set[str]:
    fields = {names.name, names.machine_type, names.cell, names.phase, names.started_at, "zone", "weight"}
    return fields | set(names.phases) | {phase.value for phase in Phase if phase.value in names.phases}


def _settings_keys() -> set[str]:
    paths = {field.path for field in [*SETTING_FIELDS.values(), *CLASS_FIELDS.values()]}
    parts = {part for path in paths for part in path.split(".")}
    return parts | {admission.value for admission in Admission} | _read_keys("settings.py") | {"subscribe"}


def _configuration_keys() -> set[str]:
    return _read_keys("net/config.py")


def _read_keys(path: str) -> set[str]:
    """Return the literal keys that a module reads from objects."""
    tree = ast.parse((PACKAGE / path).read_text())
    calls = [node for node in ast.walk(tree) if isinstance(node, ast.Call)]
    return {
        argument.value
        for call in calls
        if getattr(call.func, "attr", getattr(call.func, "id", "")) in READING_CALLS
        for argument in call.args
        if isinstance(argument, ast.Constant) and isinstance(argument.value, str)
    }


def _generation_prefix() -> str:
    return store.file_name(0).rstrip("0")


def _yang_names() -> set[str]:
    text = (PACKAGE / "management" / "granitespool.yang").read_text()
    return set(re.findall(rf"^\s*(?:{YANG_STATEMENTS})\s+\"?([\w-]+)\"?\s*[{{;]", text, re.M))


def _operator_keys() -> set[str]:
    keys = _schema_keys(
        operator_settings.SECTIONS, {operator_settings.USER_PREFIX: operator_settings.UserSettings}
    )
    return keys | set(operator_settings.CERTIFICATE_KINDS) | set(operator_settings.WRITABLE)


def _schema_keys(
    sections: dict[str, type[msgspec.Struct]], prefixed: dict[str, type[msgspec.Struct]]
) -> set[str]:
    """Return section names, prefixes of section names, keys and the values of choices."""
    keys = {*sections, *prefixed}
    for schema in [*sections.values(), *prefixed.values()]:
        for field in msgspec.structs.fields(schema):
            keys.add(field.encode_name)
            keys |= {value for value in typing.get_args(field.type) if isinstance(value, str)}
    return keys


def _command_line_words() -> set[str]:
    usage = cli.__doc__.partition("Usage:\n")[2].partition("\n\n")[0]
    return set(re.findall(r"(?<![\w-])(?:--?[a-z]+|(?<=[ (|])[a-z]+)(?=[ )\]|\n]|$)", usage)) - {
        "granitespool"
    }


def _report_keys(kind: object, seen: set[object] | None = None) -> Iterable[str]:
    """Return the keys under which a record and the records in it are written as JSON."""
    seen = set() if seen is None else seen
    keys: set[str] = set()
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct) and kind not in seen:
        seen.add(kind)
        for field in msgspec.structs.fields(kind):
            keys.add(field.encode_name)
            keys |= set(_report_keys(field.type, seen))
    elif isinstance(kind, types.UnionType) or typing.get_origin(kind) is not None:
        for argument in typing.get_args(kind):
            keys |= set(_report_keys(argument, seen))
    return keys
