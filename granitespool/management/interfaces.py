"""What datastores and protocols need of the service around them: net.management_service and its listener."""

from collections.abc import Iterator, Mapping, MutableMapping
from typing import Any, Protocol

from granitespool.management.changes import CompletionCallback
from granitespool.management.data_tree import Tree
from granitespool.management.datastores import Datastores
from granitespool.management.model import Model


class Listener(Protocol):
    """What a protocol reads of the listener that accepted its connection."""

    @property
    def streams(self) -> int | None:
        """Calls at once on one connection, where the protocol has any."""


class Transport(Protocol):
    """One connection of a management client."""

    @property
    def listener(self) -> Listener:
        """What accepted it."""

    @property
    def end_reason(self) -> str | None:
        """Why it is about to end; None while it is not."""

    @property
    def unsent(self) -> int:
        """Bytes that wait to be written."""

    def now(self) -> int:
        """The turn's time, ns."""

    def send(self, data: bytes) -> None:
        """Writes bytes as the client takes them."""

    def end(self, why: str) -> None:
        """Ends the connection once what waits is written, as far as it can be at once."""

    def wake(self) -> None:
        """Has the listener look at the connection again in the next turn."""


class ProtocolSession(Protocol):
    """One client's session in any protocol, as the listener drives it and as other sessions know it."""

    @property
    def number(self) -> int:
        """Unlike that of any other session."""

    @property
    def transport(self) -> Transport:
        """Its connection."""

    @property
    def subscribed_events(self) -> frozenset[str] | None:
        """Names of events to be notified of, empty for all; None without a subscription."""

    @property
    def has_work(self) -> bool:
        """Whether `work` has something to do."""

    @property
    def is_exempt_from_idle_timeout(self) -> bool:
        """Whether silence is no reason to end the session."""

    def start(self) -> None:
        """The connection is up."""

    def receive(self, data: bytes) -> None:
        """Takes plain bytes of the client."""

    def work(self) -> None:
        """One step of what takes long."""

    def next_deadline(self) -> int | None:
        """When `tick` is to be called at the latest, ns; None for never."""

    def tick(self, now: int) -> None:
        """Does what is due."""

    def notify(self, name: str, fields: Mapping[str, object], at: str) -> None:
        """Tells the client of an event; `at` as RFC 3339 has it."""

    def announce_shutdown(self) -> None:
        """Tells the client that the server goes."""

    def on_closed(self, why: str, /) -> None:
        """The connection has ended, however."""


class StateReader(Protocol):
    """The operational state, read in steps."""

    tree: Tree

    def steps(self) -> Iterator[None]:
        """Reads a part; the tree is complete at the end."""


class SharedState(Protocol):
    """One reading of the operational state for all who ask within a short time."""

    leaf_values: dict[tuple[str, int], Any]  # what protocols derived of the newest tree
    leaf_cache: MutableMapping[str, Any]  # by the text of a path, as long as any subscriber holds it

    def poll(self, now: int) -> Tree | None:
        """A recent tree, or None after a step towards it."""


class ManagementService(Protocol):
    """What the sessions of all protocols share."""

    @property
    def datastores(self) -> Datastores:
        """The settings, their candidates and locks."""

    @property
    def model(self) -> Model:
        """The YANG module."""

    @property
    def shared_state(self) -> SharedState:
        """The latest reading of the operational state."""

    def new_state_reader(self) -> StateReader:
        """A new reading of the operational state."""

    def find_session(self, number: str) -> ProtocolSession | None:
        """The session of a number."""

    def session_number(self, session: object) -> int:
        """A session's number, 0 for the coordinator itself."""

    def save_startup(self, answer: CompletionCallback) -> object:
        """Has startup outlast the process, and answers once that is safe."""

    def log_failure(self, error: Exception) -> None:
        """Logs a fault of this program."""

    def on_session_closed(self, session: object) -> None:
        """A session has ended, however."""
