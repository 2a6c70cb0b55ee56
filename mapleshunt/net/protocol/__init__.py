"""Messages on the wire: parsers and commands, without I/O."""
