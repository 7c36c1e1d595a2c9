"""A coordinator's snapshot in a folder that outlasts the process, restored as far as its age allows.

    framing         bytes of a file: frames with their checksums                         no I/O
    record          what is stored, by key; versions of the format and the steps between no I/O
    change_filter   which changes are worth a write                                      no I/O
    restore_policy  what of a record is restored                                         no I/O
    recovery        a record from the start on: loaded, restored, kept current           no I/O
    store           one file a generation: read, append, compact, through a folder       no I/O of its own
    disk            the folder itself: the only module that touches the disk
    writer          the thread that owns the store
    snapshotter     the coroutine that takes snapshots and hands them to the writer
    errors          the errors of this package

The file's format is specified in docs/state-format.md, the operators' page is docs/state.md.
"""
