"""Hollow coordinators: the input and output of a coordinator without its decisions, many in one process.

profile       rates and sizes of the messages that a coordinator writes to its proxies
measurement   computes a profile from the trace of a real coordinator
counts        messages and bytes by kind
endpoints     the state of each backend
messages      the frames of a message of a given size
connection    one connection with its reader and its unsent data
coordinator   the hollow coordinator
process       a process of many: `python -m granitespool.scale.hollow.process SPEC`
"""
