"""granitespool: a central planner behind a layer of plain proxies."""
__version__ = "0.2.0"
