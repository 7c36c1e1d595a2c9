"""What may be asked of a coordinator beside its planner's own records (`granitespool.planner.status`)."""

import msgspec

from granitespool.endpoints import Phase


class EndpointState(msgspec.Struct, frozen=True):
    """What the endpoint list says of a backend."""

    phase: Phase
    started_at: int  # ns, Unix time; 0 where the list does not tell
