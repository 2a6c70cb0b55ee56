"""The fleet around the gateways: emulated backends, clients, discovery, counter and network.

Every part is a state machine: it takes the time and an event and returns the effects. It opens no socket,
reads no clock and draws only from generators that were handed in. The package may import numpy, never
`policy`, `net` or `simulation`: a host in virtual time (`mapleshunt.simulation`) and one on sockets
(`mapleshunt.testbed`) drive it in the same way.
"""
