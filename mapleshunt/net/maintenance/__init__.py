"""Maintenance: this gateway's part as a machine and, where it leads group 0, as the coordinator."""
