"""Interfaces between the datastores, the management protocols and the service.

`net.management_service` implements the interfaces of the service. `net.management_listener` implements those
of the listener.
"""

from collections.abc import Iterator, Mapping, MutableMapping
from typing import Any, Protocol

from granitespool.management.changes import CompletionCallback
from granitespool.management.data_tree import Tree
from granitespool.management.datastores import Datastores
from granitespool.management.model import Model


class Listener(Protocol):
    """The part of the listener's interface that a protocol uses."""

    @property
    def streams(self) -> int | None:
        """The maximum number of concurrent calls on a connection, None if the protocol has no calls."""


class Transport(Protocol):
    """The connection of a management client."""

    @property
    def listener(self) -> Listener:
        """The listener that accepted the connection."""

    @property
    def end_reason(self) -> str | None:
        """The reason why the connection is being closed, None if it stays open."""

    @property
    def unsent(self) -> int:
        """The number of bytes that wait to be written."""

    def now(self) -> int:
        """Return the time of the event loop's current turn, in ns."""

    def send(self, data: bytes) -> None:
        """Queue plain bytes, which are written as fast as the client reads them."""

    def end(self, reason: str) -> None:
        """End the connection after writing as much of the unsent bytes as the socket accepts at once."""

    def wake(self) -> None:
        """Make the listener resume the connection in the next turn."""


class ProtocolSession(Protocol):
    """The session of a client in any protocol: the interface for the listener and the service."""

    @property
    def number(self) -> int:
        """The number of the session, unique in this process."""

    @property
    def transport(self) -> Transport:
        """The connection of the session."""

    @property
    def subscribed_events(self) -> frozenset[str] | None:
        """The names of the subscribed events; empty if all are subscribed, None without a subscription."""

    @property
    def has_work(self) -> bool:
        """Whether `work` has something to do now."""

    @property
    def is_exempt_from_idle_timeout(self) -> bool:
        """Whether the session is exempt from the idle timeout."""

    def start(self) -> None:
        """Start the session; the TLS handshake is complete."""

    def receive(self, data: bytes) -> None:
        """Process plain bytes from the client."""

    def work(self) -> None:
        """Do one short step of the pending work."""

    def next_deadline(self) -> int | None:
        """Return the time in ns by which `tick` must be called, None without a timer."""

    def tick(self, now: int) -> None:
        """Run the timers that have expired at `now`, in ns."""

    def notify(self, name: str, fields: Mapping[str, object], at: str) -> None:
        """Notify the client of an event; `at` is its time in the format of RFC 3339."""

    def announce_shutdown(self) -> None:
        """Announce to the client that the server is shutting down."""

    def on_closed(self, reason: str, /) -> None:
        """Release the resources of the session; its connection has ended for any reason."""


class StateReader(Protocol):
    """A reading of the operational state that is made in steps."""

    tree: Tree

    def steps(self) -> Iterator[None]:
        """Read one part of the state per step; the tree is complete after the last one."""


class SharedState(Protocol):
    """A reading of the operational state, shared by all requests within a short time."""

    leaf_values: dict[tuple[str, int], Any]  # values that the protocols derived from the newest tree
    leaf_cache: MutableMapping[str, Any]  # path text -> leaf, as long as a subscription refers to the leaf

    def poll(self, now: int) -> Tree | None:
        """Return a recent tree, or do one step of reading it and return None."""


class ManagementService(Protocol):
    """The management service that the sessions of all protocols share."""

    @property
    def datastores(self) -> Datastores:
        """The datastores of the coordinator."""

    @property
    def model(self) -> Model:
        """The YANG module."""

    @property
    def shared_state(self) -> SharedState:
        """The shared reading of the operational state."""

    def new_state_reader(self) -> StateReader:
        """Return a new reader of the operational state."""

    def find_session(self, number: str) -> ProtocolSession | None:
        """Return the session with this number, or None."""

    def session_number(self, session: object) -> int:
        """Return the number of a session, 0 for the coordinator itself."""

    def save_startup(self, on_done: CompletionCallback) -> object:
        """Save startup so that it survives a restart, and call `on_done` once it is saved or has failed."""

    def log_failure(self, error: Exception) -> None:
        """Log an internal error of this program."""

    def on_session_closed(self, session: object) -> None:
        """Remove a session that has ended, and release the locks of the session."""
