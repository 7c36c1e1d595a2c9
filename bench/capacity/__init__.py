"""Measure a coordinator's costs by size: sweeps, fits, and the tables of docs/CAPACITY.md."""
