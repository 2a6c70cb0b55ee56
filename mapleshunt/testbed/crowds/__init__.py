"""Crowds of clients that do not finish, read or pace their requests, beside sound ones at one gateway."""
