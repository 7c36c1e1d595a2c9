"""Units of time as integer numbers of nanoseconds."""

MICROSECOND = 1_000  # ns
MILLISECOND = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
