"""Maintenance in a gateway: as a machine and, if it leads group 0, as the coordinator."""
