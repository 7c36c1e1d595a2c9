"""Management of a coordinator by one YANG model: datastores that several protocols work on.

    data_tree          types of settings trees and of paths within them
    errors             what a protocol answers a rejected request with
    interfaces         what datastores and protocols need of the service around them
    model              the module granitespool.yang, its nodes, the check of a tree against it
    edits              what an edit does to a tree: merge, replace, create, delete, remove
    settings_trees     the trees of running, candidate and startup, and their version
    changes            check, keep, apply: how another tree becomes running
    datastores         locks, edits, commits, confirmed commits
    mapping            between a tree of settings and the configuration that the service runs on
    impact_check       what a change of settings would break, and what it leaves for a restart
    operational_state  the state subtree, taken out of a coordinator in steps
    authorization      who a certificate stands for, and what that user may read and write

Nothing here does I/O. A tree of settings is a plain map as RFC 7951 has it (64-bit and decimal numbers are
text), without prefixes."""
