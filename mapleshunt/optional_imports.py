"""Keeps optional imports of libraries out of the gateway process, whose memory is limited.

Import this before Tornado: its log module loads curses for colours on a terminal, which take 0.1 MB.
"""

from __future__ import annotations

import sys

# Python raises ImportError for a module whose entry is None; the type of the table does not say so.
sys.modules.setdefault("curses", None)  # type: ignore[arg-type]
