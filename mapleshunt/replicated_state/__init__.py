"""What gateways hold for customers and guarantee to each other, as one replicated state machine.

No module of it does I/O or reads a clock.
"""
