"""The operators' settings: a file of S-expressions, parsed into typed and validated sections.

`reader` parses the text into nodes with line and column, `schema` converts the nodes to typed sections and
reports errors with file, line and column, and `operators` defines the sections. No sockets and no clock; the
gateway imports this only if `PROXY_OPERATORS` names a file.
"""
