"""What the gateway is there for at present, and what it tells its operators. No I/O, no clock."""
