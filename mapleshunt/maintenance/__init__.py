"""Machines that are taken out for work, in an order that the gateways settle among themselves. No I/O."""
