"""granitespool: a central planner behind a layer of plain proxies."""

__version__ = "0.3.0"
