"""Faults of a service's process: it is stopped, or runs out of descriptors or message buffers."""

import os
import resource
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from support.wire_messages import framed

if TYPE_CHECKING:
    from support.service_harness import ServiceHarness


class ProcessFaults:
    """Faults of the process that a service's harness runs."""

    def __init__(self, harness: "ServiceHarness") -> None:
        self._harness = harness
        self._descriptors_allowed = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._fillers: list[int] = []

    def stop_before_reading(self, duration: int, meanwhile: Callable[[], None]) -> None:
        """Stop the process for `duration` ns between a poll and its events, and call `meanwhile` then."""
        loop: Any = self._harness.instance.loop
        real = loop.epoll

        def poll(*_: object) -> Any:
            loop.epoll = real
            found = real.poll(0)
            meanwhile()
            self._harness.now += duration
            return found

        loop.epoll = SimpleNamespace(poll=poll)
        self._harness.instance.turn(0)
        assert loop.epoll is real
        self._harness.turn()

    def stop_while_waiting(self, duration: int) -> None:
        """Stop the process for `duration` ns in a poll that returns no events."""
        loop: Any = self._harness.instance.loop
        real = loop.epoll
        self._harness.now += duration
        empty: list[list[object]] = [[]]
        loop.epoll = SimpleNamespace(
            poll=lambda *arguments: empty.pop() if empty else real.poll(*arguments),
            register=real.register,
            modify=real.modify,
            unregister=real.unregister,
            close=real.close,
        )
        self._harness.instance.turn(0)
        loop.epoll = real

    def limit_descriptors(self, more: int) -> None:
        """Limit the process to `more` further descriptors."""
        top = max(int(entry.name) for entry in Path("/proc/self/fd").iterdir())
        resource.setrlimit(resource.RLIMIT_NOFILE, (top + 1, self._descriptors_allowed[1]))
        with suppress(OSError):
            while True:
                self._fillers.append(os.open("/dev/null", os.O_RDONLY))
        for _ in range(more):
            os.close(self._fillers.pop())

    def restore_descriptors(self) -> None:
        """Restore the former limit on descriptors."""
        resource.setrlimit(resource.RLIMIT_NOFILE, self._descriptors_allowed)
        while self._fillers:
            os.close(self._fillers.pop())

    def limit_buffers(self, more: int) -> None:
        """Limit the service to `more` further message buffers."""
        pool = self._harness.instance.streams.pool
        pool.limit = pool.in_use + more

    def send_during_update_write(self, name: str, message: str) -> None:
        """Send a message while an update is written; fail if it is read in the same turn."""
        streams: Any = self._harness.instance.streams
        real, dropped_before = streams.send, self._harness.log.text.count('"message_dropped"')

        def send(proxy: int) -> None:
            self._harness.clients.write(name, framed(message))
            real(proxy)

        streams.send = send
        self._harness.actions.set_entry(0, "a", 2.5)
        self._harness.turn()
        streams.send = real
        assert not self._harness.instance.log.unread, self._harness.instance.log.unread
        assert self._harness.log.text.count('"message_dropped"') == dropped_before, self._harness.log.text
