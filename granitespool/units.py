"""Units of time, in integer nanoseconds."""

MICROSECOND = 1_000  # ns
MILLISECOND = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
