"""Locks on datastores (RFC 6241, 7.5); no I/O."""

from granitespool.management.errors import ErrorTag, ManagementError


class Locks:
    """Which session holds the lock of which datastore."""

    def __init__(self) -> None:
        self._holders: dict[str, object] = {}

    def holder(self, store: str) -> object:
        """The session that holds a datastore's lock, or None."""
        return self._holders.get(store)

    def holders(self) -> list[object]:
        """The sessions that hold any lock."""
        return list(self._holders.values())

    def check_not_held(self, store: str) -> None:
        """Raises ManagementError where any session holds a datastore's lock."""
        holder = self.holder(store)
        if holder is not None:
            raise ManagementError(ErrorTag.LOCK_DENIED, f"{store} is locked", session=holder)

    def check_usable(self, store: str, session: object) -> None:
        """Raises ManagementError where another session holds a datastore's lock."""
        holder = self.holder(store)
        if holder is not None and holder is not session:
            raise ManagementError(ErrorTag.IN_USE, f"{store} is locked by another session", session=holder)

    def hold(self, store: str, session: object) -> None:
        """A session has a datastore's lock from now on."""
        self._holders[store] = session

    def release(self, store: str, session: object) -> None:
        """Raises ManagementError where the session does not hold the lock."""
        if self._holders.get(store) is not session:
            reason = f"{store} is not locked by this session"
            raise ManagementError(ErrorTag.OPERATION_FAILED, reason)
        del self._holders[store]

    def release_all(self, session: object) -> list[str]:
        """Frees what a session holds; the datastores that it held."""
        released = [store for store, holder in self._holders.items() if holder is session]
        for store in released:
            del self._holders[store]
        return released
