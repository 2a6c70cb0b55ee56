"""The gateway process: its parts, startup, signals, reload, drain and shutdown. The top layer."""
