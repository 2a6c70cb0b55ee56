"""The figures that operators fetch: counts by class and gauges, as lines of `name:value|type`.

The form is that of statsd's text protocol: `c` for counts, which only grow from 0 at the start of the
process, and `g` for gauges.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

COUNTS = "completed", "rejected", "failed", "upstream_requests"  # kept for each class


def text_of(classes: Iterable[str], counts: Counter[tuple[str, str]], gauges: Mapping[str, int]) -> str:
    """One line a figure; every class has all its counts, also those that are 0."""
    lines = [f"gateway.{name}.{cls}:{counts[name, cls]}|c" for cls in classes for name in COUNTS]
    lines += [f"gateway.{name}:{value}|g" for name, value in gauges.items()]
    return "\n".join(lines) + "\n"
