"""The fleet in virtual time, to try a setting or a version before it is deployed.

It drives the unchanged decisions of `mapleshunt.policy` among the state machines of `mapleshunt.fleet`. It
may import those two, and for replication `replication`, `replicated_state` and `maintenance`; never `net`, a
socket or a clock (but to measure how long a run took). The gateway imports nothing of this package.
"""
