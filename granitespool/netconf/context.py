"""What the operations of one NETCONF session may use: its user, its connection, the datastores behind it."""

from collections.abc import Callable, Iterator
from typing import TypeAlias

from granitespool.management.authorization import User
from granitespool.management.changes import CompletionCallback
from granitespool.management.errors import ManagementError
from granitespool.management.interfaces import ManagementService, Transport
from granitespool.netconf.xmltree import Element

Steps: TypeAlias = Iterator[None]
Handler: TypeAlias = "Callable[[OperationContext, Element, Element], Steps | None]"
"""(context, the operation's element, the reply to fill); steps for what takes long or is answered later."""


class OperationContext:
    """Of one session: `owner` stands for it in the datastores.

    `awaiting_answer` is whether a commit's answer is still to come: no other operation of the session is
    processed meanwhile. `notified_events` are the names that the session subscribed to, an empty set for all,
    None without a subscription."""

    def __init__(self, service: ManagementService, user: User, transport: Transport, owner: object) -> None:
        self.service = service
        self.user = user
        self.transport = transport
        self.owner = owner
        self.awaiting_answer = False
        self.notified_events: frozenset[str] | None = None

    def wait_for(self, start: Callable[[CompletionCallback], object]) -> Steps:
        """Starts what is answered later, and waits for its answer.

        Raises:
            ManagementError: the answer, where it is one.
        """
        answers: list[ManagementError | None] = []

        def on_answer(error: ManagementError | None) -> None:
            answers.append(error)
            if self.awaiting_answer:
                self.awaiting_answer = False
                self.transport.wake()

        start(on_answer)
        while not answers:
            self.awaiting_answer = True
            yield
        if answers[0] is not None:
            raise answers[0]
