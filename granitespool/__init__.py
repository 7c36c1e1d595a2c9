"""granitespool: a central load-balancing planner for a layer of proxies."""

__version__ = "0.3.0"
