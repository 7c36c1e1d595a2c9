"""Base classes of the errors that granitespool raises."""


class GranitespoolError(Exception):
    """Base class of all errors of this program; the text is one sentence for an operator."""


class InvalidInputError(GranitespoolError):
    """Invalid input from an operator or a peer; the text says what is invalid."""
