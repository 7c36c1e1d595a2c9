"""gNMI 0.8 over gRPC: one door to the datastores.

    gnmi.proto, gnmi_pb2    the messages; the second is made of the first (`make proto`)
    paths                   paths to nodes and values, wildcards, flattening            no I/O
    values                  typed values and JSON to changes, and back                  no I/O
    session                 one connection: Capabilities, Get, Set, Subscribe           no I/O

Operators' page: docs/gnmi.md."""
