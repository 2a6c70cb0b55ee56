"""Recordings of real traffic: their file format without I/O, and the gateway's writer.

The gateway loads this only when its operators' file asks for a recording.
"""
