"""Copies of what gateways promise, kept alike on several of them: replication without I/O.

Nothing here is loaded unless the operators' file has a section `(copies ...)`.
"""
