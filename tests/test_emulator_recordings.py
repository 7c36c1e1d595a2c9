"""The emulator's reports and the keys of its experiments are those of the recordings.

The emulator runs in virtual time from a seed, so no value of a report depends on real time. One value is left
out: `program`, the program's version, which changes with each release."""

import hashlib
import json

import msgspec
import pytest
from support import recordings

from granitespool.emulator import play, schema
from granitespool.emulator.world import BEGAN, SECOND, World

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


def digest(value):
    return hashlib.sha256(json.dumps(value).encode()).hexdigest()


def days():
    """A world whose coordinator is killed and started anew, second by second."""
    setup = schema.load("restart", [*SMALL, "class.purchase.again=true", "failing_share=0.3", "load=1.2"])
    world, seconds, waiting = World(setup, 9, 21, 11), [], set()
    world.start()
    for second in range(1, 16):
        for step in range(1, 201):
            world.run(BEGAN + (second - 1) * SECOND + step * SECOND // 200)
            waiting.update(each[0] for each in world.events)
        if second == 6:
            world.change_places()
            world.kill()
        if second == 8:
            world.start(None, 1.5)
        seconds.append(
            {
                "table": world.table("z0"),
                "service": world.service(second - 1, second),
                "proxies": digest(
                    [[proxy.table, sorted(proxy.shut), proxy.level("purchase")] for proxy in world.proxies]
                ),
            }
        )
    return recordings.as_recorded(
        {
            "seconds": seconds,
            "chance": digest(world.random.getstate()),
            "events": world.serial,
            "times": digest(sorted(waiting)),
        }
    )


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


def test_a_world_goes_through_the_recorded_seconds():
    assert days() == recordings.read("emulator/days")


def test_experiments_have_the_recorded_keys_and_defaults():
    assert keys() == recordings.read("emulator/keys")


if __name__ == "__main__":
    for each in EXPERIMENTS:
        recordings.write(f"emulator/{each}", report(each))
    recordings.write("emulator/days", days())
    recordings.write("emulator/keys", keys())
