"""Reassembly of a message to a proxy from its parts on the wire."""

from typing import Any

from granitespool.errors import InvalidInputError
from granitespool.simulation.proxy_table import AdmissionLevel, AdmissionUpdate, TableUpdate, WeightUpdate


class IncomingMessage:
    """A message whose later parts may still be missing."""

    def __init__(self) -> None:
        self.sizes: list[int] = []  # bytes of each part with its length prefix
        self.entries = 0  # entries as the protocol counts them, without the header
        self.weights: list[WeightUpdate] = []
        self.admission: list[AdmissionUpdate] = []
        self.excluded: list[str] = []
        self.readmitted: list[str] = []
        self.barrier: int | None = None

    def add(self, part: dict[str, Any], size: int) -> None:
        """Add one part of `size` bytes, length prefix included; raise InvalidInputError if malformed."""
        try:
            self._add(part)
        except (TypeError, ValueError, KeyError) as error:
            raise InvalidInputError(f"a part of a message is malformed: {error!r:.80}") from None
        self.sizes.append(size)

    def _add(self, part: dict[str, Any]) -> None:
        complete = bool(part.get("whole"))
        weights = [(name, weight) for name, weight in part.get("lines", ())]
        excluded, readmitted = part.get("out", ()), part.get("back", ())
        if complete or weights:
            self.weights.append(WeightUpdate(complete, weights))
        if "level" in part:
            level = AdmissionLevel(float(part["level"]), int(part["retry"]))
            self.admission.append(AdmissionUpdate(part.get("classes"), level))
        self.excluded += excluded
        self.readmitted += readmitted
        self.barrier = part.get("ticket", self.barrier)
        fields = ("level" in part, "ticket" in part, complete)
        self.entries += len(weights) + len(excluded) + len(readmitted) + sum(fields)

    def update(self) -> TableUpdate:
        """Return the changes to the proxy's table."""
        return TableUpdate(
            weights=self.weights,
            admission=self.admission,
            excluded=self.excluded,
            readmitted=self.readmitted,
        )

    def weighted_backends(self) -> list[str]:
        """Return the backends that the message contains a weight for."""
        return [name for change in self.weights for name, _ in change.weights]

    def backends(self) -> list[str]:
        """Return all backends that the message contains."""
        return [*self.weighted_backends(), *self.excluded, *self.readmitted]

    @property
    def changes_table(self) -> bool:
        """Whether the message changes which backends the proxy may use."""
        return bool(self.weights or self.excluded or self.readmitted)
