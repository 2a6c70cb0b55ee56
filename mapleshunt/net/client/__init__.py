"""Client connections, from the accepted socket to the orderly close."""
