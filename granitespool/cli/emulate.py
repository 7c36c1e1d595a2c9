"""`lab`: experiments in virtual time."""

import sys

from granitespool.emulator import play, schema


def run(told):
    if told["list"]:
        for name in schema.names():
            print(f"{name:12} {schema.load(name).experiment.title}")
        return 0
    setup = schema.load(told["EXPERIMENT"], told["--set"])
    steps = sys.stderr.isatty()
    result = play.play(setup, lambda words: steps and print(words, file=sys.stderr))
    if told["--plot"]:
        play.plot(result, told["--plot"])
    print(play.as_json(result) if told["--json"] else "\n".join(play.table(result)))
    return 0
