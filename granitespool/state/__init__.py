"""Snapshots of a coordinator in a folder, restored at the next start as far as their age allows.

    framing         encodes and decodes the frames of a file, with checksums             no I/O
    record          types of the stored values, their encoding and format versions       no I/O
    change_filter   selects the changes that have to be written                          no I/O
    restore_policy  selects the values of a record that are restored                     no I/O
    recovery        loads and restores a record, then collects changes to it             no I/O
    store           reads, appends to and compacts the files of a folder                 no I/O of its own
    disk            the folder: the only module that accesses the disk
    writer          the thread that owns the store
    snapshotter     the coroutine that takes snapshots and passes them to the writer
    errors          exceptions of this package

docs/state-format.md specifies the file format; docs/state.md is the page for operators.
"""
