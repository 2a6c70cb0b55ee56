"""Backends and the connections to them."""
