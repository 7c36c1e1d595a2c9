"""Where a zone's traffic may go: decisions of their own, asked by the planner; no I/O."""
