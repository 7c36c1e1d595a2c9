"""Snapshots of a coordinator in a folder, restored at the next start as far as their age allows.

    framing         frames with checksums in the bytes of a file                         no I/O
    record          stored values by key, versions of the format and their upgrades      no I/O
    change_filter   selects the changes that have to be written                          no I/O
    restore_policy  selects the values of a record that are restored                     no I/O
    recovery        loads and restores a record, then collects changes to it             no I/O
    store           a file per generation: read, append, compact, through a folder       no I/O of its own
    disk            the folder: the only module that accesses the disk
    writer          the thread that owns the store
    snapshotter     the coroutine that takes snapshots and passes them to the writer
    errors          errors of this package

docs/state-format.md specifies the file format; docs/state.md is the page for operators.
"""
