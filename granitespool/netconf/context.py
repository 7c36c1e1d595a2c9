"""The context in which the operations of one NETCONF session run: its user, connection and service."""

from collections.abc import Callable, Iterator
from typing import TypeAlias

from granitespool.management.authorization import User
from granitespool.management.changes import CompletionCallback
from granitespool.management.errors import ManagementError
from granitespool.management.interfaces import ManagementService, Transport
from granitespool.netconf.xmltree import Element

Steps: TypeAlias = Iterator[None]
Handler: TypeAlias = "Callable[[OperationContext, Element, Element], Steps | None]"
"""A function of the context, the operation's element and the reply to fill.

It returns steps if the operation takes long or completes later, else None.
"""


class OperationContext:
    """The context of one session; `owner` identifies the session in the datastores.

    `awaiting_completion` is whether an operation has been started and has not completed yet. Until it has
    completed, the session processes no other operation. `notified_events` are the names of the subscribed
    events. An empty set stands for all events, and None for a session without a subscription.
    """

    def __init__(self, service: ManagementService, user: User, transport: Transport, owner: object) -> None:
        self.service = service
        self.user = user
        self.transport = transport
        self.owner = owner
        self.awaiting_completion = False
        self.notified_events: frozenset[str] | None = None

    def wait_for(self, start_operation: Callable[[CompletionCallback], object]) -> Steps:
        """Start an operation that completes later, and wait for its completion.

        Raises:
            ManagementError: the operation failed.
        """
        results: list[ManagementError | None] = []

        def on_done(error: ManagementError | None) -> None:
            results.append(error)
            if self.awaiting_completion:
                self.awaiting_completion = False
                self.transport.wake()

        start_operation(on_done)
        while not results:
            self.awaiting_completion = True
            yield
        if results[0] is not None:
            raise results[0]
