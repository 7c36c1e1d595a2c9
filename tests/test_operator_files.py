"""Compares the operator's and the platform's files and the output of `check` with recordings.

Guards against renamed keys and changed defaults or limits, which would change the effect of existing files.
"""

import json
import tomllib
from pathlib import Path

import msgspec
from msgspec import inspect
from support.management import compare_with_record

from granitespool import operator_settings
from granitespool.cli import main
from granitespool.management import mapping
from granitespool.net import config

ROOT = Path(__file__).parent.parent
EXAMPLE = ROOT / "deploy" / "granitespool.ini"
EVERY_KEY = """
[state]
folder = memory
every_ms = 250
most_mb = 16
half_life_s = 7.5
oldest_s = 90
[tls]
certificate = server.pem
key = server.key
authorities = /etc/ca.pem
[netconf]
listen = 127.0.0.1:6513
sessions = 5
idle_s = 30
[gnmi]
listen = localhost:9339
sessions = 6
idle_s = 40
streams = 7
[figures]
every_ms = 200
backends = 9
[user.night]
certificate = sha256:AB:CD
read = false
write = class, zone, channel, permissions, drain, cold, operator
[user.day]
certificate = email:a@b
write = *
"""


def type_text(kind):
    """Return one line with the type of a field and the limits of its values."""
    info = inspect.type_info(kind)
    bounds = {
        name: getattr(info, name)
        for name in ("ge", "le", "gt", "lt", "pattern", "min_length", "max_length")
        if getattr(info, name, None) is not None
    }
    return " ".join([type(info).__name__, *(f"{name}={value!r}" for name, value in bounds.items())])


def schema_keys(struct):
    return {
        field.name: {"type": type_text(field.type), **({} if field.required else {"default": field.default})}
        for field in msgspec.structs.fields(struct)
    }


def json_text(value):
    return json.dumps(value, indent=1) + "\n"


def test_keys_types_and_defaults_of_the_operators_file_are_as_recorded(tmp_path):
    sections = {name: schema_keys(struct) for name, struct in operator_settings.SECTIONS.items()}
    compare_with_record(
        "management/operator_keys.json",
        json_text({**sections, "user.NAME": schema_keys(operator_settings.UserSettings)}),
        tmp_path,
    )


def test_values_and_summary_of_a_file_with_every_key_are_as_recorded(tmp_path):
    path = tmp_path / "operator_settings.ini"
    path.write_text(EVERY_KEY)
    settings = operator_settings.load(str(path))
    text = json_text({"read": msgspec.to_builtins(settings), "summary": operator_settings.summary(settings)})
    compare_with_record("management/operator_values.json", text.replace(str(tmp_path), "FOLDER"), tmp_path)


def test_output_of_check_for_the_examples_is_as_recorded(tmp_path, capsys, monkeypatch):
    monkeypatch.delenv("LB_CONFIG", raising=False)
    path = tmp_path / "operator_settings.ini"
    path.write_text(EVERY_KEY)
    example = str(ROOT / "examples" / "config.json")
    codes = [
        main(["check", "--operator", str(EXAMPLE)]),
        main(["check", "--operator", str(path)]),
        main(["check", "--config", example]),
        main(["check", "--config", example, "--operator", str(path)]),
    ]
    out, err = capsys.readouterr()
    text = json_text({"codes": codes, "out": out.splitlines(), "err": err})
    compare_with_record("management/check.json", text.replace(str(tmp_path), "FOLDER"), tmp_path)


def test_settings_tree_of_the_example_configuration_is_as_recorded(tmp_path):
    configuration = config.load(str(ROOT / "examples" / "config.json"))
    compare_with_record("management/example_tree.json", json_text(mapping.tree_of(configuration)), tmp_path)


def test_keys_and_value_types_of_the_deploy_file():
    value_types = {}
    for key, value in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text()).items():
        item_types = sorted({type(item).__name__ for item in value}) if isinstance(value, list) else []
        value_types[key] = [type(value).__name__, *item_types]
    assert value_types == {
        "build": ["str"],
        "run": ["str"],
        "sim": ["str"],
        "policy": ["list", "str"],
        "node": ["list", "str"],
        "packages": ["list"],
    }
