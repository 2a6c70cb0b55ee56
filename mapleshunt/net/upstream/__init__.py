"""Endpoints and the connections to them."""
