"""Benchmarks and analysis commands; each module runs as `python -m bench.NAME` (`make bench-...`)."""
