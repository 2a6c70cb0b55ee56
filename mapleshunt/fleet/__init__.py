"""The fleet around the gateways as state machines: till servers, network, discovery, counter, clients.

What is here takes the time and an event and says what follows; it opens no socket, reads no clock and
draws no chance that was not handed in. It may import `interface` and numpy, never `control`, `net` or
the model: a host in virtual time (`mapleshunt.simulation`) and one on sockets (`mapleshunt.testbed`) drive
it alike.
"""
