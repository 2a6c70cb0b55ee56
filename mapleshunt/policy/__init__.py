"""The decisions of the gateway: settings and events in, actions out; no I/O and no clock."""
