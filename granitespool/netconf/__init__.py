"""NETCONF 1.0 and 1.1 (RFC 6241) over TLS (RFC 7589): a management protocol on top of the datastores.

    errors        protocol violations that no rpc-reply can answer
    framing       splits bytes into messages, in both framings of RFC 6242
    namespaces    XML namespaces and the capabilities of the hello
    xmltree       parsing with limits, names and texts of elements
    content       edit-config content to changes, data trees to XML
    filters       subtree and XPath filters
    parameters    parameters of operations
    replies       rpc-reply and rpc-error
    context       the context in which a session's operations run
    operations/   the operations, one module per group, and the dispatch table
    session       one session: hello, rpc queue, replies, notifications

Nothing here does I/O or reads a clock. The page for operators is docs/netconf.md.
"""
