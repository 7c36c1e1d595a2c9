"""All decisions of granitespool, one module for each; no I/O.

`planner.Planner` takes events (`events`) and calls the parts in order; what it wants done goes to its
`actions.PlannerActions`. Nothing here reads a clock, a socket or a file.
"""
