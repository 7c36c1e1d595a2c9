"""gRPC over HTTP/2, the server's side, without a socket.

errors   how a connection or a call ends when not well
http2    one HTTP/2 connection: h2 does the protocol, this its limits     no I/O
calls    the calls of a connection: messages, deadlines, statuses         no I/O"""
