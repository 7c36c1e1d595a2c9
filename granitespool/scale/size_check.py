"""Checks whether the machine is large enough for a scenario."""

import os

from granitespool.errors import InvalidInputError
from granitespool.scale.processes import MEGABYTE
from granitespool.scale.schema import Scenario

PROCESSES_LIMIT = 200
MEMORY_SHARE = 0.5  # share of the machine's memory that all processes together may use
RUNNER_MB = 2_048  # memory estimated for the stand-ins


def check_size(scenario: Scenario) -> None:
    """Raise InvalidInputError if the scenario needs too many processes or too much memory."""
    coordinators = scenario.coordinators
    processes = coordinators.real + coordinators.hollow_processes + 1
    if processes > PROCESSES_LIMIT:
        raise InvalidInputError(
            f"the scenario needs {processes} processes, over the limit of {PROCESSES_LIMIT}"
        )
    required_mb = coordinators.real * coordinators.memory_mb + RUNNER_MB
    limit = MEMORY_SHARE * os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / MEGABYTE
    if required_mb > limit:
        raise InvalidInputError(
            f"the scenario may use {required_mb} MB, over {limit:.0f} MB: half of the machine's memory"
        )
