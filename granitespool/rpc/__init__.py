"""The server side of gRPC over HTTP/2, without a socket.

errors   errors that end a connection or a call
http2    one HTTP/2 connection: the protocol by h2, with limits      no I/O
calls    the calls of a connection: messages, deadlines, statuses    no I/O
"""
