"""gNMI 0.8 over gRPC: a management protocol on top of the datastores.

    gnmi.proto, gnmi_pb2    the messages; the second is made of the first (`make proto`), and has no types
    paths                   paths to nodes and values, wildcards, flattening
    values                  typed values
    edits                   delete, replace and update as changes of the settings
    statuses                a management error as a status of gRPC
    context                 what a call may use of its connection
    capabilities, get, set, subscribe     the methods
    subscription            one subscription: what was sent of it, and what has changed
    connection              one connection: HTTP/2, and the methods' table

Nothing here does I/O or reads a clock. Operators' page: docs/gnmi.md."""
