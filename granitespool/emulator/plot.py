"""Plot the distance of the tables from those before the kill, over time."""

from collections.abc import Sequence
from typing import Any

from granitespool.emulator.report import Report, Row
from granitespool.simulation.plotting import load_pyplot

FIGURE_WIDTH, ROW_HEIGHT = 11.0, 3.2  # inches; the plot has one row for each size
COLUMN_TITLES = ("the coordinator's tables", "the proxies' tables")


def plot(report: Report, path: str) -> None:
    """Write a plot (PNG, SVG or PDF) with a row of axes for each size and a line for each variant.

    Raises:
        InvalidInputError: matplotlib is not installed.
    """
    pyplot = load_pyplot()
    sizes = list(dict.fromkeys(row.size for row in report.rows))
    height = ROW_HEIGHT * len(sizes)
    figure, axes = pyplot.subplots(len(sizes), 2, figsize=(FIGURE_WIDTH, height), squeeze=False, sharex=True)
    for pair, size in zip(axes, sizes, strict=True):
        _plot_size(pair, size, [row for row in report.rows if row.size == size])
    axes[0][0].legend(fontsize=8)
    figure.suptitle(f"{report.title} (simulated servers)", fontsize=10)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _plot_size(axes: Sequence[Any], size: str, rows: Sequence[Row]) -> None:
    for row in rows:
        times, *columns = zip(*row.far, strict=True)
        for axis, column in zip(axes, columns, strict=True):
            axis.plot(times, column, label=row.variant, linewidth=1.2)
    for axis, title in zip(axes, COLUMN_TITLES, strict=True):
        axis.set_title(f"{size}: {title}", fontsize=9)
        axis.set_xlabel("s after the start")
        axis.set_ylabel("distance from before the kill")
        axis.set_ylim(0, 1)
