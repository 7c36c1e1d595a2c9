"""Errors of the state package."""

from granitespool.errors import GranitespoolError


class StateError(GranitespoolError):
    """Base class of the errors of the state package."""


class CorruptRecordError(StateError):
    """A value that passed its checksum cannot be decoded."""


class TornWriteError(StateError):
    """A file contains no valid frame at `offset`; `reason` is a short explanation."""

    def __init__(self, offset: int, reason: str) -> None:
        super().__init__(f"{reason} at byte {offset}")
        self.offset = offset
        self.reason = reason


class FolderLockedError(StateError):
    """Another process has locked the folder."""

    def __init__(self, path: str) -> None:
        super().__init__(f"the state folder {path} is in use by another process")


class UnsupportedFormatError(StateError):
    """A file has a newer format than this program supports, so the program must not write to the folder."""

    def __init__(self, name: str, version: int, supported_version: int) -> None:
        super().__init__(f"{name} has format {version}, this program supports up to {supported_version}")
