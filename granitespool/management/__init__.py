"""Management of a coordinator by one YANG model: the datastores shared by all management protocols.

    data_tree          types of settings trees and of paths within them
    errors             errors that a protocol reports for a rejected request
    interfaces         interfaces between the datastores, the protocols and the service
    model              the module granitespool.yang, its nodes, and the validation of trees
    edits              edit operations on a tree: merge, replace, create, delete, remove
    settings_trees     the trees of running, candidate and startup, and their version
    changes            check, save, apply: the steps by which a tree becomes running
    datastores         locks, edits, commits, confirmed commits
    mapping            conversion between a tree of settings and the service's configuration
    impact_check       rejects changes of settings that would do harm or need a restart
    operational_state  the state subtree, read from a coordinator in steps
    authorization      maps certificates to users, and checks what a user may read and write

Nothing here does I/O. A tree of settings is a plain dict in the JSON encoding of RFC 7951 (64-bit and decimal
numbers are strings), without module prefixes.
"""
