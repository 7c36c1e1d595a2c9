"""Base classes of the errors that granitespool raises."""


class GranitespoolError(Exception):
    """Base class of all errors of this program; its message is one sentence for the operator."""


class InvalidInputError(GranitespoolError):
    """Input from an operator or a peer is invalid; the message says what is invalid."""
