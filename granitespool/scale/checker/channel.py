"""The rule `channel`: the limits of each coordinator's channel."""

from collections import deque

from granitespool.scale.checker.violation import Handlers, Violation, as_seconds
from granitespool.scale.trace import ChannelBacklog, Limits, MessageWritten, ProxyJoined, ProxyLeft

Stream = tuple[str, int]  # coordinator and proxy


class ChannelRule:
    """Checks the queue and the messages of each coordinator's channel."""

    def __init__(self, limits: Limits, violations: list[Violation]) -> None:
        """Create the rule; violations are appended to `violations`."""
        self.limits = limits
        self.violations = violations
        self.over_backlog_limit: set[str] = set()  # coordinators with too many queued entries
        self.written: dict[Stream, deque[int]] = {}  # ns of each message within the span
        self.over_message_limit: set[Stream] = set()  # streams with too many messages within the span
        self.ended: set[Stream] = set()  # streams that the coordinator itself has closed
        self.handlers: Handlers = {
            ChannelBacklog: self.backlog,
            MessageWritten: self.message_written,
            ProxyJoined: self.joined,
            ProxyLeft: self.left,
        }

    def _report(self, at: int, subject: str, text: str) -> None:
        self.violations.append(Violation(rule="channel", at=at, subject=subject, text=text))

    def backlog(self, event: ChannelBacklog) -> None:
        """Check the queued entries; each overrun is reported once, when it begins."""
        if event.entries <= self.limits.backlog_limit:
            self.over_backlog_limit.discard(event.coordinator)
        elif event.coordinator not in self.over_backlog_limit:
            self.over_backlog_limit.add(event.coordinator)
            text = f"{event.entries:g} lines wait in its channel, over {self.limits.backlog_limit:g}."
            self._report(event.at, f"coordinator {event.coordinator}", text)

    def joined(self, event: ProxyJoined) -> None:
        """Reset the count of messages when a proxy joins, unless the coordinator had closed its stream."""
        stream = (event.coordinator, event.proxy)
        if stream in self.ended:
            self.ended.discard(stream)
        else:
            self.written.pop(stream, None)
            self.over_message_limit.discard(stream)

    def left(self, event: ProxyLeft) -> None:
        """Record whether the coordinator itself has closed the stream."""
        stream = (event.coordinator, event.proxy)
        if event.by_coordinator:
            self.ended.add(stream)
        else:
            self.ended.discard(stream)

    def message_written(self, event: MessageWritten) -> None:
        """Check one complete message: its parts, the size of the largest part, and the message rate."""
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
