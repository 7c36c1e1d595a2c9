"""Units of time in whole nanoseconds."""

MICROSECOND = 1_000  # ns
MILLISECOND = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
