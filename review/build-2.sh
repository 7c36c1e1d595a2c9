#!/bin/sh
# Builds what the cases 6 to 9 start beside the coordinator: stand-ins in Python that need the standard library alone.
# Run after the command `build` of deploy/balancer.toml, from any folder.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins_2.py review/6 review/7 review/8 review/9
