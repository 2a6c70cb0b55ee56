"""The statistics that operators fetch: counters by request class and gauges, as lines of `name:value|type`.

The format is statsd's text protocol: `c` for counters, which start at 0 with the process and only grow, and
`g` for gauges.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

CLASS_COUNTERS = ("completed", "rejected", "failed", "upstream_requests")


def render(classes: Iterable[str], counts: Counter[tuple[str, str]], gauges: Mapping[str, int]) -> str:
    """Return the statistics, one per line.

    Args:
        classes: names of the request classes; each has all `CLASS_COUNTERS`, including those that are 0.
        counts: counts by counter and class.
        gauges: current values by name.
    """
    lines = [f"gateway.{name}.{cls}:{counts[name, cls]}|c" for cls in classes for name in CLASS_COUNTERS]
    lines += [f"gateway.{name}:{value}|g" for name, value in gauges.items()]
    return "\n".join(lines) + "\n"
