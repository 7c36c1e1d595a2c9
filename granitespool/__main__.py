"""Entry point of `python -m granitespool`; the commands are in `granitespool.cli`."""

import sys

from granitespool.cli import main

if __name__ == "__main__":
    sys.exit(main())
