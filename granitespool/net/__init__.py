"""Network I/O of the coordinator: one epoll loop, generator-based coroutines, one owner per resource."""
