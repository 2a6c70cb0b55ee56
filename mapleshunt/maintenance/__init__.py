"""Maintenance: machines are taken out one after another, in an order that the gateways agree on.

No module does I/O or reads a clock. `jobs` is part of the replicated state; `agent` drains a machine under a
grant; `fleet_view` builds what the coordinator (the leader of group 0) puts into the log.
"""
