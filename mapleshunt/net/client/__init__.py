"""Client connections: from the accepted socket to its orderly close."""
