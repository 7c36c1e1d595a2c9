"""`check`: reads what a call names and says what it holds."""

from collections.abc import Mapping
from typing import Any

from granitespool.cli.files import file_paths
from granitespool.net import config


def run(arguments: Mapping[str, Any]) -> int:
    """Prints a line for each file that docopt's arguments name; the exit code."""
    path, operator_path = file_paths(arguments)
    if path or not operator_path:
        print(config.summary(config.load(path)))
    if operator_path:
        from granitespool import operator_settings  # noqa: PLC0415 imported only where a file is named

        print(operator_settings.summary(operator_settings.load(operator_path)))
    return 0
