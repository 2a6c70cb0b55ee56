"""One gateway process: wiring, start, signals, reload, drain and shutdown; the top of the layers."""
