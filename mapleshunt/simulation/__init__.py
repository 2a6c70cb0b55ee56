"""A model of the whole fleet in virtual time, to try a setting or a version before it goes out.

It drives the unchanged decisions through `interface` alone, among the state machines of `mapleshunt.fleet`.
It may import those, `interface`, `terms` and `control`; never `net`, never a socket or a clock (but to say
how long a run took). The daemon imports nothing of this package.
"""
