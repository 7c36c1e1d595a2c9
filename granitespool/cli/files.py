"""Loads the configuration and the operator's settings that a command line refers to."""

import os
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from granitespool.net import config
from granitespool.net.config import Configuration

if TYPE_CHECKING:
    from granitespool.operator_settings import OperatorSettings


def file_paths(arguments: Mapping[str, Any]) -> tuple[str | None, str | None]:
    """Return the paths of the configuration and the operator's settings; None for a file that is not given.

    Command line options take precedence over environment variables.
    """
    return (
        arguments["--config"] or os.environ.get("LB_CONFIG"),
        arguments["--operator"] or os.environ.get("GRANITESPOOL_OPERATOR"),
    )


def load_operator_settings(path: str | None) -> "OperatorSettings | None":
    """Load the operator's settings from `path`; return None if it is None or empty."""
    if not path:
        return None
    from granitespool import operator_settings  # noqa: PLC0415

    return operator_settings.load(path)


def load_configuration(arguments: Mapping[str, Any]) -> Configuration:
    """Load and validate both files; return the configuration with the operator's settings in "operator"."""
    path, operator_path = file_paths(arguments)
    configuration = config.load(path)
    configuration["operator"] = load_operator_settings(operator_path)
    return configuration
