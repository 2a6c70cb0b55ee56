"""The endpoint list, from the discovery service."""
