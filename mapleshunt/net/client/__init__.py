"""Client connections, from the accepted socket to the graceful close."""
