"""Managing a coordinator against one YANG model: one datastore, several doors.

    model        the module granitespool.yang, its nodes, the check of a tree against it
    edits        what an edit does to a tree: merge, replace, create, delete, remove          no I/O
    datastores   running, candidate, startup; locks, commits, confirmed commits               no I/O
    mapping      between a tree of settings and the configuration that the service runs on    no I/O
    harm         what a change of settings would break, and what it leaves for a restart      no I/O
    picture      the state subtree, taken out of a coordinator in pieces                      no I/O
    rights       who a certificate stands for, and what that user may read and write          no I/O

A tree of settings is a plain map as RFC 7951 has it (64-bit and decimal numbers are text), without
prefixes."""
