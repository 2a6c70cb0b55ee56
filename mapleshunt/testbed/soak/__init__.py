"""The soak test: real gateways under overlapping faults drawn by seed, judged by the invariants."""
