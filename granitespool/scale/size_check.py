"""Whether a scenario fits the machine."""

import os

from granitespool.errors import InvalidInputError
from granitespool.scale.processes import MEGABYTE
from granitespool.scale.schema import Scenario

PROCESSES_LIMIT = 200
MEMORY_SHARE = 0.5  # of the machine's memory that the processes may have together
RUNNER_MB = 2_048  # that the stand-ins are counted with


def check_size(scenario: Scenario) -> None:
    """Raises InvalidInputError where the scenario would take more of the machine than it may."""
    coordinators = scenario.coordinators
    processes = coordinators.real + coordinators.hollow_processes + 1
    if processes > PROCESSES_LIMIT:
        raise InvalidInputError(f"the scenario asks for {processes} processes, of {PROCESSES_LIMIT} at most")
    required_mb = coordinators.real * coordinators.memory_mb + RUNNER_MB
    limit = MEMORY_SHARE * os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / MEGABYTE
    if required_mb > limit:
        raise InvalidInputError(
            f"the scenario may take {required_mb} MB, of {limit:.0f} MB: half of the machine's memory"
        )
