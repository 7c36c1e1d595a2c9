"""Measurements that stay in the repository; each module is a command (`make bench-...`)."""
