"""Recordings of real traffic: their form without I/O (`form`), the daemon's writer (`writer`), and reading.

The daemon loads this only when its operators' file asks for a recording. It may import `policy`, and
nothing of `world`, `model` or `rig`.
"""
