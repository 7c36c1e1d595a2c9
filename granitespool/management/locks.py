"""Locks on datastores (RFC 6241, 7.5); no I/O."""

from granitespool.management.errors import ErrorTag, ManagementError


class Locks:
    """The locks of the datastores and the sessions that hold them."""

    def __init__(self) -> None:
        self._holders: dict[str, object] = {}

    def holder(self, datastore: str) -> object:
        """Return the session that holds the lock of a datastore, or None."""
        return self._holders.get(datastore)

    def holders(self) -> list[object]:
        """Return the sessions that hold a lock."""
        return list(self._holders.values())

    def check_not_held(self, datastore: str) -> None:
        """Raise ManagementError if any session holds the lock of a datastore."""
        holder = self.holder(datastore)
        if holder is not None:
            raise ManagementError(ErrorTag.LOCK_DENIED, f"{datastore} is locked", session=holder)

    def check_usable(self, datastore: str, session: object) -> None:
        """Raise ManagementError if another session holds the lock of a datastore."""
        holder = self.holder(datastore)
        if holder is not None and holder is not session:
            raise ManagementError(
                ErrorTag.IN_USE, f"{datastore} is locked by another session", session=holder
            )

    def hold(self, datastore: str, session: object) -> None:
        """Record that a session holds the lock of a datastore."""
        self._holders[datastore] = session

    def release(self, datastore: str, session: object) -> None:
        """Release a lock.

        Raises:
            ManagementError: the session does not hold the lock.
        """
        if self._holders.get(datastore) is not session:
            reason = f"{datastore} is not locked by this session"
            raise ManagementError(ErrorTag.OPERATION_FAILED, reason)
        del self._holders[datastore]

    def release_all(self, session: object) -> list[str]:
        """Release all locks of a session, and return the datastores that it had locked."""
        released = [datastore for datastore, holder in self._holders.items() if holder is session]
        for datastore in released:
            del self._holders[datastore]
        return released
