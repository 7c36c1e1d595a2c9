"""What a coordinator has learnt, kept in a folder that outlasts the process, and believed as far as its age
allows.

    frames    bytes of a file: frames with their checks                          no I/O
    record    what is kept, by key; versions of the format and the steps between no I/O
    ledger    which of what is known is worth writing now                        no I/O
    trust     what of a record is believed                                       no I/O
    store     one file a generation: read, append, compact, through a folder     no I/O of its own
    disk      the folder itself: the one file that touches the disk
    writer    the thread that owns the store
    keeper    the coroutine that takes facts out and hands them to the writer

The file's format stands in docs/state-format.md, the operators' page is docs/state.md."""
