"""The replicated state machine: what gateways store for customers and guarantee to each other.

No module of it does I/O or reads a clock.
"""
