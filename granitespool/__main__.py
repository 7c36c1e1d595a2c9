"""`python -m granitespool`: the command line, see granitespool/cli."""

import sys

from granitespool.cli import main

if __name__ == "__main__":
    sys.exit(main())
