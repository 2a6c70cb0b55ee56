"""The fleet on loopback sockets in real time: real gateway processes among emulated machines.

It hosts the state machines of `mapleshunt.fleet`, runs the scenarios of `mapleshunt.simulation` and applies
the same rules and score. It may import `net` (for its parsers), `fleet` and `simulation`; the gateway imports
nothing from it.
"""
