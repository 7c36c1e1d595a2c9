"""gRPC on the own loop: HTTP/2 by h2, calls and their messages; no socket and no clock of its own.

    http2     one connection: streams, flow control, limits, a notice to go away
    calls     one call: messages, deadline, status; what a method is given

Used by the managers' gNMI; load reports will use it too."""
