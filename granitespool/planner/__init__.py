"""Load balancing decisions without I/O, one module for each kind of decision.

`planner.Planner` receives the events that `events` defines, and calls the other modules in a fixed order.
Side effects go through `actions.PlannerActions`. No module in this package reads a clock, a socket or a file.
"""
