"""Hollow coordinators: the outer work of one, without its decisions, so that many fit into one process.

profile       what a coordinator writes to its proxies: rates and sizes
measurement   a profile from what was seen of a real coordinator
counts        messages and bytes by kind
endpoints     what is known of the backends
messages      the frames of a message of a given size
connection    one connection, its reader and what is not sent yet
coordinator   the hollow coordinator
process       a process of many: `python -m granitespool.scale.hollow.process SPEC`"""
