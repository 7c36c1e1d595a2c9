"""The two files that a call names: the configuration and the operator's settings."""

import os

from granitespool.net import config


def paths(told):
    """(configuration, operator's settings), None for one that is not named."""
    return (
        told["--config"] or os.environ.get("LB_CONFIG"),
        told["--operator"] or os.environ.get("GRANITESPOOL_OPERATOR"),
    )


def operator_of(path):
    """The operator's settings, or None where no file is named: then nothing of them is imported."""
    if not path:
        return None
    from granitespool import operator_settings  # noqa: PLC0415

    return operator_settings.load(path)


def read(told):
    """The whole of what the service is told; both files are read and checked before anyone hears of
    either."""
    path, operator = paths(told)
    return {**config.load(path), "operator": operator_of(operator)}
