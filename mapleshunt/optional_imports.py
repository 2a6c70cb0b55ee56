"""Keeps imports that the gateway does not need out of its process, whose memory is limited.

Import this before Tornado, which imports them all.
"""

from __future__ import annotations

import importlib
import sys
from types import ModuleType
from typing import Any

# Tornado's log module loads it for colours on a terminal. Python raises ImportError for a module whose entry
# is None; the type of the table does not say so.
sys.modules.setdefault("curses", None)  # type: ignore[arg-type]


def defer_import(name: str) -> None:
    """Have the top-level module `name` loaded at the first use of one of its attributes, unless it is loaded.

    `importlib.util.LazyLoader` does not serve here: before Python 3.12 a second `import` loads its module.
    """
    if name in sys.modules:
        return
    deferred = ModuleType(name)

    def load_attribute(attribute: str) -> Any:
        """Load the module in place of the deferred one; attributes of any type may be asked for."""
        if sys.modules.get(name) is deferred:
            del sys.modules[name]
        return getattr(importlib.import_module(name), attribute)

    deferred.__dict__["__getattr__"] = load_attribute
    sys.modules[name] = deferred


# Tornado's escape module imports its table of 2,231 character references, for functions that format pages.
defer_import("html")
