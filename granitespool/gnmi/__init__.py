"""gNMI 0.8 over gRPC: a management protocol on top of the datastores.

    gnmi.proto, gnmi_pb2    the messages; gnmi_pb2 is generated from gnmi.proto (`make proto`), and untyped
    paths                   matching of paths with nodes and values, wildcards, flattening
    values                  typed values
    edits                   delete, replace and update as changes of the settings
    statuses                conversion of management errors to gRPC statuses
    context                 the context in which a connection's calls run
    capabilities, get, set, subscribe     the methods
    subscription            one subscription: the values that were sent, and changes since
    connection              one connection: HTTP/2, and the table of the methods

Nothing here does I/O or reads a clock. The page for operators is docs/gnmi.md.
"""
