"""The base of all errors that granitespool raises on purpose."""


class GranitespoolError(Exception):
    """Base class; the text is one sentence for an operator."""


class InvalidInputError(GranitespoolError):
    """Input of an operator or a peer that is not what the pages say; the text tells what is wrong."""
