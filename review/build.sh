#!/bin/sh
# Build the stand-ins of all cases: they are Python scripts without dependencies, so they are only compiled.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review
