"""The emulator's reports and the keys of its experiments are those of the recordings.

The emulator runs in virtual time from a seed, so no value of a report depends on real time. One value is left
out: `program`, the program's version, which changes with each release."""

import msgspec
import pytest
import recordings

from granitespool.lab import play, schema

SMALL = ["sizes=8x20", "seeds=1", "learn_s=12", "settle_s=6", "look_s=5", "workers=2", "service_ms=60"]
EXPERIMENTS = {
    "restart": [*SMALL, "variants=without,state,old"],
    "faults": [
        *SMALL,
        "variants=changed, wrong, alive",
        "first_seed=7",
        "zones=3",
        "load=0.9",
        "dead_share=0.125",
        "queue_ms=150",
        "binding_s=0.5",
        "delay_ms=80",
        "every_ms=500",
        "class.purchase.share=3",
        "class.purchase.limit_ms=600",
    ],
}


def report(name):
    made = play.play(schema.load("restart", EXPERIMENTS[name]))
    del made["program"]
    return recordings.as_recorded({"report": made, "table": play.table(made)})


def keys():
    sections = {**schema.SECTIONS, "class.*": schema.Class}
    return recordings.as_recorded(
        {
            section: {
                field.encode_name: None if field.required else field.default
                for field in msgspec.structs.fields(record)
            }
            for section, record in sections.items()
        }
    )


@pytest.mark.parametrize("name", EXPERIMENTS)
def test_an_experiment_gives_the_recorded_report(name):
    assert report(name) == recordings.read(f"emulator/{name}")


def test_experiments_have_the_recorded_keys_and_defaults():
    assert keys() == recordings.read("emulator/keys")


if __name__ == "__main__":
    for each in EXPERIMENTS:
        recordings.write(f"emulator/{each}", report(each))
    recordings.write("emulator/keys", keys())
