"""Protocol errors of a NETCONF peer that do not belong to an rpc; each of them ends the session."""

from granitespool.errors import GranitespoolError


class NetconfError(GranitespoolError):
    """The peer violated the protocol in a way that no rpc-reply can answer."""


class FramingError(NetconfError):
    """The bytes are not framed by RFC 6242, or a message exceeds the size limit."""


class MalformedMessageError(NetconfError):
    """A message is not XML within the limits, or it is not allowed at this point of the session."""
