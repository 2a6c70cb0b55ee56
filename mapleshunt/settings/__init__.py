"""The operators' settings: one file of S-expressions under `deploy/`, read, checked and typed by section.

`reader` turns text into nodes that know their place, `schema` fits them to typed sections and words what is
wrong with file, line and column, `operators` holds the sections. No sockets, no clock; the daemon loads this
only where `PROXY_OPERATORS` names a file.
"""
