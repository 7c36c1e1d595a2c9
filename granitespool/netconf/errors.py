"""What a NETCONF peer can do wrong below the level of an rpc: each of these errors ends its session."""

from granitespool.errors import GranitespoolError


class NetconfError(GranitespoolError):
    """The peer broke the protocol in a way that no rpc-reply can answer; the text says how."""


class FramingError(NetconfError):
    """Bytes that are no frame of RFC 6242, or a message over the size limit."""


class MalformedMessageError(NetconfError):
    """A message that is not XML within the limits, or not one that may come at this point."""
