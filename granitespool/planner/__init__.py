"""Load balancing decisions, one module for each kind; no I/O.

`planner.Planner` handles the events (`events`) by calling the other modules in a fixed order. Side effects go
through its `actions.PlannerActions`. No module here reads a clock, a socket or a file.
"""
