"""The errors of the state package."""

from granitespool.errors import GranitespoolError


class StateError(GranitespoolError):
    """Base of the errors of the state package."""


class CorruptRecordError(StateError):
    """A value passed its checksum and still cannot be what was written."""


class TornWriteError(StateError):
    """A file's bytes are no valid frame from `offset` on; `reason` says in a few words why."""

    def __init__(self, offset: int, reason: str) -> None:
        super().__init__(f"{reason} at byte {offset}")
        self.offset = offset
        self.reason = reason


class FolderLockedError(StateError):
    """Another process owns the folder."""

    def __init__(self, path: str) -> None:
        super().__init__(f"the state folder {path} is in use by another process")


class UnsupportedFormatError(StateError):
    """A file has a newer format than this program knows; nothing may be written beside it."""

    def __init__(self, name: str, version: int, known_version: int) -> None:
        super().__init__(f"{name} is of format {version}, this program knows up to {known_version}")
