"""The context in which the calls of one gNMI connection run: its user, transport and service."""

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
    """The context of one connection; `owner` identifies the connection in the datastores."""

    def __init__(self, service: ManagementService, user: User, transport: Transport, owner: object) -> None:
        self.service = service
        self.user = user
        self.transport = transport
        self.owner = owner

    def read_tree(self, config: bool = True, state: bool = True) -> Generator[None, None, Tree]:
        """Return the tree from the root, with the settings and the state as requested.

        The reading of the state is shared with other requests at about the same time.
        """
        coordinator: Tree = {}
        if config:
            coordinator[model.SETTINGS] = self.service.datastores.tree(RUNNING)
        if state:
            while (tree := self.service.shared_state.poll(self.transport.now())) is None:
                yield
            coordinator[model.STATE] = tree
        return {model.TOP: coordinator}


def parse_message(message_type: type[MessageT], data: bytes) -> MessageT:
    """Parse a message from a client.

    Raises:
        StatusError: the bytes are not a message of this type.
    """
    try:
        message: MessageT = message_type.FromString(data)
    except DecodeError:
        reason = f"a message is not a {message_type.DESCRIPTOR.name}"
        raise StatusError(StatusCode.INVALID_ARGUMENT, reason) from None
    return message


def first_message(call: Call, message_type: type[MessageT]) -> Generator[None, None, MessageT]:
    """Wait for the first message of a call, and return it.

    Raises:
        StatusError: the call has no message, or one of another type.
    """
    while not call.inbox and not call.is_half_closed:
        call.is_waiting = True
        yield
    if not call.inbox:
        raise StatusError(StatusCode.INVALID_ARGUMENT, "the call has no message")
    return parse_message(message_type, call.inbox.pop(0))
