"""Replication of quotas and records over several gateways: Raft without I/O.

Nothing here is loaded unless the operators' file has a section `(copies ...)`.
"""
