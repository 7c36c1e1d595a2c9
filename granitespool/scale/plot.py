"""Plots of the costs of a coordinator against the size of the fleet."""

from collections.abc import Sequence
from typing import Any

from granitespool.scale.report import Report
from granitespool.simulation.plotting import load_pyplot

PHASES = (("idle", "idle_share"), ("reports", "reports_share"), ("worst second", "worst_second_share"))


def plot(reports: Sequence[Report], path: str) -> None:
    """Write a plot as PNG, SVG or PDF.

    Each point is one real coordinator of one run, at the run's number of backends.

    Raises:
        InvalidInputError: matplotlib is not installed.

    """
    pyplot = load_pyplot()
    points = [(report.sizes["backends"], row) for report in reports for row in report.coordinators]
    figure, (processor, memory, traffic) = pyplot.subplots(1, 3, figsize=(13, 3.8))
    for label, field in PHASES:
        _scatter(processor, [(size, getattr(row, field)) for size, row in points], 100, label)
    _scatter(memory, [(size, row.resident_mb) for size, row in points], 1, "resident")
    _scatter(traffic, [(size, row.in_bytes_per_s) for size, row in points], 1e-3, "in")
    _scatter(traffic, [(size, row.out_bytes_per_s) for size, row in points], 1e-3, "out")
    for axis, title in ((processor, "% of a core"), (memory, "MB"), (traffic, "kB a second")):
        axis.set_title(title, fontsize=9)
        axis.set_xlabel("backends")
        axis.set_ylim(bottom=0)
        axis.legend(fontsize=8)
    titles = ", ".join(dict.fromkeys(report.title for report in reports))
    figure.suptitle(f"cost of a real coordinator (simulated servers): {titles}", fontsize=10)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _scatter(
    axis: Any,  # noqa: ANN401 matplotlib has no type for it
    points: Sequence[tuple[int, float | None]],
    factor: float,
    label: str,
) -> None:
    measured = [(size, value * factor) for size, value in points if value is not None]
    axis.scatter([size for size, _ in measured], [value for _, value in measured], s=14, label=label)
