"""Shares of a core that processes used, computed from samples of their resource usage."""

from collections.abc import Sequence

import msgspec

from granitespool.scale.processes import Sample
from granitespool.units import SECOND

SPAN_MIN = SECOND // 2  # ns; no share is computed over a shorter span
WORST_SECOND_SPAN_MIN = 0.9  # s between two samples that count as a second apart
SPAN_TOLERANCE = SECOND // 10  # ns by which a sample may lie outside its span


class Span(msgspec.Struct):
    """A phase of the run, in ns."""

    begin: int = 0
    end: int = 0


def share_between(first_ns: int, last_ns: int, processor_ns: int) -> float | None:
    """Return processor time as a share of a core over a span; None if the span is too short."""
    span = last_ns - first_ns
    return round(processor_ns / span, 4) if span > SPAN_MIN else None


def share_of(first: Sample, last: Sample) -> float | None:
    """Return the share of a core that a process used between two samples."""
    return share_between(first.at, last.at, last.processor - first.processor)


def share_in(samples: Sequence[Sample], span: Span) -> float | None:
    """Return the share of a core that a process used in a phase."""
    inside = [
        sample for sample in samples if span.begin - SPAN_TOLERANCE <= sample.at <= span.end + SPAN_TOLERANCE
    ]
    return share_of(inside[0], inside[-1]) if len(inside) >= 2 else None


def worst_second(samples: Sequence[Sample], begin: int) -> float | None:
    """Return the largest share of a core that one process used between samples about a second apart.

    Samples from before `begin` (ns) are ignored.
    """
    worst = None
    for position, first in enumerate(samples):
        last = _second_later(samples[position:])
        if first.at < begin or last is None or last.processor < first.processor:
            continue  # before or at the end of the measurement, or the samples are of two processes
        worst = max(worst or 0.0, share_of(first, last) or 0.0)
    return worst


def _second_later(samples: Sequence[Sample]) -> Sample | None:
    """Return the first sample that is about a second after the first sample."""
    first, least = samples[0], SECOND * WORST_SECOND_SPAN_MIN
    return next((sample for sample in samples if sample.at - first.at >= least), None)
