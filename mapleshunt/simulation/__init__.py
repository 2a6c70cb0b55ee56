"""The fleet in virtual time, to try a setting or a version before it is deployed.

It runs the unchanged decisions of `mapleshunt.policy` against the state machines of `mapleshunt.fleet`. It
may import those two, and for replication `replication`, `replicated_state` and `maintenance`; never `net`, a
socket or a clock (except to measure how long a run took). The gateway imports nothing from this package.
"""
