"""The limits of each coordinator's channel: `channel`."""

from collections import deque

from granitespool.scale.checker.violation import Handlers, Violation, as_seconds
from granitespool.scale.trace import ChannelBacklog, Limits, MessageWritten, ProxyJoined, ProxyLeft

Stream = tuple[str, int]  # coordinator and proxy


class ChannelRule:
    """Counts what each coordinator writes to each proxy."""

    def __init__(self, limits: Limits, violations: list[Violation]) -> None:
        """What is found is added to `violations`."""
        self.limits = limits
        self.violations = violations
        self.over_backlog_limit: set[str] = set()  # coordinators with more entries waiting than may be
        self.written: dict[Stream, deque[int]] = {}  # times of the messages in the span, ns
        self.over_message_limit: set[Stream] = set()  # with more messages in the span than may be
        self.ended: set[Stream] = set()  # that the coordinator itself has ended
        self.handlers: Handlers = {
            ChannelBacklog: self.backlog,
            MessageWritten: self.message_written,
            ProxyJoined: self.joined,
            ProxyLeft: self.left,
        }

    def _report(self, at: int, subject: str, text: str) -> None:
        self.violations.append(Violation(rule="channel", at=at, subject=subject, text=text))

    def backlog(self, event: ChannelBacklog) -> None:
        """Reported once for each time that too many entries wait."""
        if event.entries <= self.limits.backlog_limit:
            self.over_backlog_limit.discard(event.coordinator)
        elif event.coordinator not in self.over_backlog_limit:
            self.over_backlog_limit.add(event.coordinator)
            text = f"{event.entries:g} lines wait in its channel, over {self.limits.backlog_limit:g}."
            self._report(event.at, f"coordinator {event.coordinator}", text)

    def joined(self, event: ProxyJoined) -> None:
        """Messages are counted from a proxy's joining, unless the coordinator had ended its stream."""
        stream = (event.coordinator, event.proxy)
        if stream in self.ended:
            self.ended.discard(stream)
        else:
            self.written.pop(stream, None)
            self.over_message_limit.discard(stream)

    def left(self, event: ProxyLeft) -> None:
        """Remembers which streams the coordinator itself has ended."""
        stream = (event.coordinator, event.proxy)
        if event.by_coordinator:
            self.ended.add(stream)
        else:
            self.ended.discard(stream)

    def message_written(self, event: MessageWritten) -> None:
        """One complete message: its parts, the bytes of its largest part, and how many came before it."""
        subject = f"coordinator {event.coordinator}, proxy {event.proxy}"
        if event.parts > self.limits.parts_limit:
            text = f"A message has {event.parts} parts, over {self.limits.parts_limit}."
            self._report(event.at, subject, text)
        if event.largest_part > self.limits.part_bytes:
            text = f"A part has {event.largest_part} bytes, over {self.limits.part_bytes}."
            self._report(event.at, subject, text)
        if self.limits.messages_limit:
            self._count(event, subject)

    def _count(self, event: MessageWritten, subject: str) -> None:
        stream = (event.coordinator, event.proxy)
        times = self.written.setdefault(stream, deque())
        times.append(event.at)
        while times[0] <= event.at - self.limits.messages_span:
            times.popleft()
        if len(times) <= self.limits.messages_limit:
            self.over_message_limit.discard(stream)
        elif stream not in self.over_message_limit:
            self.over_message_limit.add(stream)
            span = as_seconds(self.limits.messages_span)
            text = f"It was written {len(times)} messages in {span}, over {self.limits.messages_limit}."
            self._report(event.at, subject, text)
