"""Maintenance: machines that are taken out one after another, in an order that the gateways agree on.

No module of it does I/O or reads a clock. `jobs` is part of the replicated state; `agent` is the side of the
machine that a grant empties; `fleet_view` is what the coordinator (the leader of group 0) puts into the log.
"""
