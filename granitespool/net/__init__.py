"""The sockets around the coordinator: one epoll loop, generators as coroutines, one owner a resource."""
