"""A model of the whole fleet in virtual time, to try a setting or a version before it goes out.

It drives the unchanged decisions of `mapleshunt.policy` among the state machines of `mapleshunt.fleet`. It may
import those and `policy`; never `net`, never a socket or a clock (but to say
how long a run took). The daemon imports nothing of this package.
"""
