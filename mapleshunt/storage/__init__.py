"""A gateway's disk for its copies: an embedded store, checked as it is read, written by its own thread."""
