"""`check`: reads what a call names and says what it holds."""

from granitespool.cli.files import operator_of, paths
from granitespool.net import config


def run(told):
    path, operator_path = paths(told)
    if path or not operator_path:
        print(config.summary(config.load(path)))
    if operator_path:
        from granitespool import operator_settings  # noqa: PLC0415

        print(operator_settings.summary(operator_of(operator_path)))
    return 0
