"""What gateways hold for customers and promise to each other, as one replicated state. No I/O, no clock."""
