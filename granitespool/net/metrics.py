"""Figures for counting across coordinators: a line of the log each so often (docs/fleet.md).

Off unless the operator's settings have [figures]. It only reads: once a line, but for the longest turn."""

MS = 1_000_000  # ns in a millisecond


class Figures:
    def __init__(self, loop, coordinator, log, options, discovery):
        self.loop, self.coordinator, self.log, self.options = loop, coordinator, log, options
        self.discovery, self.longest = discovery, 0
        loop.spawn(self._tell())

    def turned(self, began):
        """A turn that began then ends; called last in it."""
        self.longest = max(self.longest, self.loop.clock() - began)

    def _tell(self):
        while True:
            yield None, 0, self.loop.now + self.options.every_ms * MS
            figures = self.coordinator.figures()
            figures["lag_ms"] = figures.pop("lag") // MS
            backends, untold = self.coordinator.unusual(self.options.backends)
            longest, self.longest = self.longest, 0
            self.log.event(
                "figures",
                **{
                    key: round(value, 3) if isinstance(value, float) else value
                    for key, value in figures.items()
                },
                list=self.discovery.index,
                list_age_ms=(self.loop.now - self.discovery.told_at) // MS,
                turn_us=longest // 1_000,
                more=untold,
                backends={
                    name: [why, *(round(each, 2) for each in numbers)]
                    for name, (why, *numbers) in backends.items()
                },
            )
