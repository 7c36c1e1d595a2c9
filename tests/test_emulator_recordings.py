"""Compare the emulator's reports and the keys of its experiments with recordings.

The emulator runs in virtual time from a seed, so no value of a report depends on real time. One value is not
compared: `program`, the program's version, which changes with each release.
"""

import hashlib
import json

import msgspec
import pytest
from support import recordings

from granitespool.emulator import experiment, schema
from granitespool.emulator import report as report_module
from granitespool.emulator.clock import EPOCH
from granitespool.emulator.emulation import Emulation
from granitespool.units import SECOND

SMALL_EXPERIMENT = [
    "sizes=8x20",
    "seeds=1",
    "learn_s=12",
    "settle_s=6",
    "look_s=5",
    "workers=2",
    "service_ms=60",
]
OVERRIDES = {  # recorded report -> overrides of the experiment `restart`
    "restart": [*SMALL_EXPERIMENT, "variants=without,state,old"],
    "faults": [
        *SMALL_EXPERIMENT,
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


def recorded_report(name):
    """Run an experiment and return its report and text table."""
    result = experiment.run(schema.load("restart", OVERRIDES[name]))
    report = json.loads(report_module.as_json(result))
    del report["program"]
    return recordings.as_recorded({"report": report, "table": report_module.format_table(result)})


def digest(value):
    return hashlib.sha256(json.dumps(value).encode()).hexdigest()


def emulated_seconds():
    """Run an emulation whose coordinator is killed and restarted, and return its state after each second."""
    setup = schema.load(
        "restart", [*SMALL_EXPERIMENT, "class.purchase.again=true", "failing_share=0.3", "load=1.2"]
    )
    emulation, seconds, pending_times = Emulation(setup, 9, 21, 11), [], set()
    emulation.start()
    for second in range(1, 16):
        for step in range(1, 201):
            emulation.run_until(EPOCH + (second - 1) * SECOND + step * SECOND // 200)
            pending_times.update(emulation.clock.pending_times())
        if second == 6:
            emulation.swap_faults()
            emulation.kill()
        if second == 8:
            emulation.start(None, 1.5)
        seconds.append(
            {
                "table": emulation.zone_shares("z0"),
                "service": msgspec.to_builtins(emulation.outcomes(second - 1, second)),
                "proxies": digest(
                    [
                        [proxy.weights, sorted(proxy.excluded), proxy.admission_level("purchase")]
                        for proxy in emulation.proxies
                    ]
                ),
            }
        )
    return recordings.as_recorded(
        {
            "seconds": seconds,
            "chance": digest(emulation.random.getstate()),
            "events": emulation.clock.scheduled_count,
            "times": digest(sorted(pending_times)),
        }
    )


def keys_and_defaults():
    """Return the default of each key of each section, None for required keys."""
    sections = {**schema.SECTIONS, "class.*": schema.ClassSettings}
    return recordings.as_recorded(
        {
            section: {
                field.encode_name: None if field.required else field.default
                for field in msgspec.structs.fields(schema_class)
            }
            for section, schema_class in sections.items()
        }
    )


@pytest.mark.parametrize("name", OVERRIDES)
def test_an_experiment_gives_the_recorded_report(name):
    assert recorded_report(name) == recordings.read(f"emulator/{name}")


def test_an_emulation_with_a_restart_has_the_recorded_state_after_each_second():
    assert emulated_seconds() == recordings.read("emulator/days")


def test_experiments_have_the_recorded_keys_and_defaults():
    assert keys_and_defaults() == recordings.read("emulator/keys")


if __name__ == "__main__":
    for name in OVERRIDES:
        recordings.write(f"emulator/{name}", recorded_report(name))
    recordings.write("emulator/days", emulated_seconds())
    recordings.write("emulator/keys", keys_and_defaults())
