"""The two files that a call names: the configuration and the operator's settings."""

import os
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from granitespool.net import config
from granitespool.net.config import Configuration

if TYPE_CHECKING:
    from granitespool.operator_settings import OperatorSettings


def file_paths(arguments: Mapping[str, Any]) -> tuple[str | None, str | None]:
    """(configuration, operator's settings) of docopt's arguments, None for one that is not named."""
    return (
        arguments["--config"] or os.environ.get("LB_CONFIG"),
        arguments["--operator"] or os.environ.get("GRANITESPOOL_OPERATOR"),
    )


def load_operator_settings(path: str | None) -> "OperatorSettings | None":
    """The operator's settings; None where no file is named, and then nothing of them is imported."""
    if not path:
        return None
    from granitespool import operator_settings  # noqa: PLC0415

    return operator_settings.load(path)


def load_configuration(arguments: Mapping[str, Any]) -> Configuration:
    """The whole configuration; both files are read and checked before any part hears of either."""
    path, operator_path = file_paths(arguments)
    configuration = config.load(path)
    configuration["operator"] = load_operator_settings(operator_path)
    return configuration
