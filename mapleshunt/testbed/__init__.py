"""The fleet on loopback sockets in real time: the world's machines, with real gateway processes among them.

It hosts the state machines of `mapleshunt.fleet`, plays the days of `mapleshunt.simulation` and is judged by
the same rules and score. It may import `net` (for its parsers) and the model; the program imports nothing of
it.
"""
