"""Deferred import of matplotlib, which is an optional extra and slow to import."""

import importlib
import importlib.util
from typing import Any

from granitespool.errors import InvalidInputError


def require_matplotlib() -> None:
    """Raise InvalidInputError if matplotlib is not installed."""
    if importlib.util.find_spec("matplotlib") is None:
        raise InvalidInputError("a plot needs the extra `plot` (pip install granitespool[plot])")


def load_pyplot() -> Any:  # noqa: ANN401 matplotlib may be missing where types are checked
    """Return `matplotlib.pyplot` with a backend that writes files and opens no window.

    Raises:
        InvalidInputError: matplotlib is not installed.
    """
    require_matplotlib()
    importlib.import_module("matplotlib").use("Agg")
    return importlib.import_module("matplotlib.pyplot")
