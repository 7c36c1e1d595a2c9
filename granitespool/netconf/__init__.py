"""NETCONF 1.0 and 1.1 (RFC 6241) over TLS (RFC 7589): a management protocol on top of the datastores.

    errors        what a peer can do wrong below the level of an rpc
    framing       messages in bytes, both framings of RFC 6242
    namespaces    XML namespaces and the capabilities of the hello
    xmltree       parsing within bounds, names and texts of elements
    content       edit-config content to changes, data trees to XML
    filters       subtree and XPath filters
    parameters    parameters of operations
    replies       rpc-reply and rpc-error
    context       what an operation may use of its session
    operations/   the operations, one module a group, and the table they are dispatched by
    session       one session: hello, rpc queue, replies, notifications

Nothing here does I/O or reads a clock. Operators' page: docs/netconf.md."""
