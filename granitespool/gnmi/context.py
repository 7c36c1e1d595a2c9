"""What the calls of one gNMI connection may use: its user, its connection, the datastores behind it."""

from collections.abc import Generator
from typing import TypeVar

from google.protobuf.message import DecodeError, Message

from granitespool.management import model
from granitespool.management.authorization import User
from granitespool.management.data_tree import Tree
from granitespool.management.interfaces import ManagementService, Transport
from granitespool.management.settings_trees import RUNNING
from granitespool.rpc.calls import Call
from granitespool.rpc.errors import StatusCode, StatusError

MessageT = TypeVar("MessageT", bound=Message)


class CallContext:
    """Of one connection: `owner` stands for it in the datastores."""

    def __init__(self, service: ManagementService, user: User, transport: Transport, owner: object) -> None:
        self.service = service
        self.user = user
        self.transport = transport
        self.owner = owner

    def read_tree(self, config: bool = True, state: bool = True) -> Generator[None, None, Tree]:
        """The tree from the root, with settings and state as asked for.

        The state is shared with others who ask at about the same time."""
        coordinator: Tree = {}
        if config:
            coordinator[model.SETTINGS] = self.service.datastores.tree(RUNNING)
        if state:
            while (tree := self.service.shared_state.poll(self.transport.now())) is None:
                yield
            coordinator[model.STATE] = tree
        return {model.TOP: coordinator}


def parse_message(kind: type[MessageT], data: bytes) -> MessageT:
    """A message that a client sent.

    Raises:
        StatusError: the bytes are none of this kind.
    """
    try:
        message: MessageT = kind.FromString(data)
    except DecodeError:
        reason = f"a message is no {kind.DESCRIPTOR.name}"
        raise StatusError(StatusCode.INVALID_ARGUMENT, reason) from None
    return message


def first_message(call: Call, kind: type[MessageT]) -> Generator[None, None, MessageT]:
    """Waits for a call's first message."""
    while not call.inbox and not call.ended:
        call.waiting = True
        yield
    if not call.inbox:
        raise StatusError(StatusCode.INVALID_ARGUMENT, "the call has no message")
    return parse_message(kind, call.inbox.pop(0))
