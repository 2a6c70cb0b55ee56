"""Replication in a gateway: its replicas, the connections between gateways, and quota leases."""
