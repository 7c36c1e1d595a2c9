"""The command `check`: validates the configuration and the operator's settings."""

from collections.abc import Mapping
from typing import Any

from granitespool.cli.files import file_paths
from granitespool.net import config


def run(arguments: Mapping[str, Any]) -> int:
    """Print a summary line of each configured file and return the exit code."""
    path, operator_path = file_paths(arguments)
    if path or not operator_path:
        print(config.summary(config.load(path)))
    if operator_path:
        from granitespool import operator_settings  # noqa: PLC0415 imported only if there is a file

        print(operator_settings.summary(operator_settings.load(operator_path)))
    return 0
