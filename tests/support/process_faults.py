"""What goes wrong in a service's process: it is stopped, or runs out of descriptors or buffers."""

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
        """The process stops for so long after it was told of events; `meanwhile` happens in that time."""
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
        """The process stops for so long in its wait for events, which comes back empty."""
        loop: Any = self._harness.instance.loop
        real = loop.epoll
        self._harness.now += duration
        empty: list[list[object]] = [[]]
        loop.epoll = SimpleNamespace(
            poll=lambda *words: empty.pop() if empty else real.poll(*words),
            register=real.register,
            modify=real.modify,
            unregister=real.unregister,
            close=real.close,
        )
        self._harness.instance.turn(0)
        loop.epoll = real

    def limit_descriptors(self, more: int) -> None:
        """The process may open so many descriptors more."""
        top = max(int(each.name) for each in Path("/proc/self/fd").iterdir())
        resource.setrlimit(resource.RLIMIT_NOFILE, (top + 1, self._descriptors_allowed[1]))
        with suppress(OSError):
            while True:
                self._fillers.append(os.open("/dev/null", os.O_RDONLY))
        for _ in range(more):
            os.close(self._fillers.pop())

    def restore_descriptors(self) -> None:
        """The process may open as many descriptors as before."""
        resource.setrlimit(resource.RLIMIT_NOFILE, self._descriptors_allowed)
        while self._fillers:
            os.close(self._fillers.pop())

    def limit_buffers(self, more: int) -> None:
        """So many message buffers are left."""
        pool = self._harness.instance.streams.pool
        pool.limit = pool.in_use + more

    def send_as_an_update_is_written(self, name: str, message: str) -> None:
        """A message arrives just as an update is written, and is not read in that turn."""
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
