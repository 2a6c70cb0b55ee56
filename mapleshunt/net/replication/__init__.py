"""The host of the replicas: groups, connections between gateways, leases."""
