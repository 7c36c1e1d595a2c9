"""The operators' and the platform's files: their keys, what they become, and what `check` says of them."""

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


def type_of(kind):
    """A field's type and its bounds in one line."""
    info = inspect.type_info(kind)
    bounds = {
        name: getattr(info, name)
        for name in ("ge", "le", "gt", "lt", "pattern", "min_length", "max_length")
        if getattr(info, name, None) is not None
    }
    return " ".join([type(info).__name__, *(f"{name}={value!r}" for name, value in bounds.items())])


def keys_of(struct):
    return {
        field.name: {"type": type_of(field.type), **({} if field.required else {"default": field.default})}
        for field in msgspec.structs.fields(struct)
    }


def json_of(value):
    return json.dumps(value, indent=1) + "\n"


def test_each_key_of_the_operators_file(tmp_path):
    sections = {name: keys_of(struct) for name, struct in operator_settings.SECTIONS.items()}
    compare_with_record(
        "management/operator_keys.json",
        json_of({**sections, "user.NAME": keys_of(operator_settings.UserSettings)}),
        tmp_path,
    )


def test_what_each_key_becomes(tmp_path):
    path = tmp_path / "operator_settings.ini"
    path.write_text(EVERY_KEY)
    read = operator_settings.load(str(path))
    text = json_of({"read": msgspec.to_builtins(read), "summary": operator_settings.summary(read)})
    compare_with_record("management/operator_values.json", text.replace(str(tmp_path), "FOLDER"), tmp_path)


def test_check_of_the_examples(tmp_path, capsys, monkeypatch):
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
    text = json_of({"codes": codes, "out": out.splitlines(), "err": err})
    compare_with_record("management/check.json", text.replace(str(tmp_path), "FOLDER"), tmp_path)


def test_the_tree_of_the_example_configuration(tmp_path):
    read = config.load(str(ROOT / "examples" / "config.json"))
    compare_with_record("management/example_tree.json", json_of(mapping.tree_of(read)), tmp_path)


def test_the_form_of_the_deploy_file():
    form = {}
    for key, value in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text()).items():
        inner = sorted({type(each).__name__ for each in value}) if isinstance(value, list) else []
        form[key] = [type(value).__name__, *inner]
    assert form == {
        "build": ["str"],
        "run": ["str"],
        "sim": ["str"],
        "policy": ["list", "str"],
        "node": ["list", "str"],
        "packages": ["list"],
    }
