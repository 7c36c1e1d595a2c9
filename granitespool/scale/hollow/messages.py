"""Messages to proxies of a given size: valid frames of the protocol, padded with spaces."""

from collections.abc import Sequence

import orjson

from granitespool.net.frames import LENGTH_SIZE
from granitespool.scale.hollow.profile import Parts

Entry = list[str | float]  # backend and weight, in the order of the wire


def update_message(parts: Parts, entries: Sequence[Entry], complete: bool, barrier: int) -> bytes:
    """Return the frames of one message: valid parts of exactly these sizes, with as many entries as fit.

    A part whose size is too small even for the required fields becomes longer.
    """
    frames = []
    rest = entries
    for number, size in enumerate(parts):
        fields: dict[str, object] = {"type": "update"}
        if complete and number == 0:
            fields["whole"] = True
        if number < len(parts) - 1:
            fields["more"] = True
        else:
            fields["ticket"] = barrier
        body, rest = _fill(size - LENGTH_SIZE, fields, rest)
        frames.append(len(body).to_bytes(LENGTH_SIZE, "little") + body)
    return b"".join(frames)


def _fill(size: int, fields: dict[str, object], entries: Sequence[Entry]) -> tuple[bytes, Sequence[Entry]]:
    """Return a body of `size` bytes with the first entries that fit into it, and the remaining entries."""
    number = len(entries)
    body = orjson.dumps({**fields, "lines": entries})
    while number and len(body) > size:
        number = min(number - 1, number * size // len(body))
        body = orjson.dumps({**fields, "lines": entries[:number]})
    if len(body) > size:
        body = orjson.dumps(fields)
    return body.ljust(size), entries[number:]
