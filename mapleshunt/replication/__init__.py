"""Replication of quotas and records over several gateways: Raft without I/O.

No module of it is loaded unless the operators' file has a section `(copies ...)`.
"""
