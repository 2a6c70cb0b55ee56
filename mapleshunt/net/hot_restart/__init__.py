"""Hot restart: a second process takes over the listening socket of the first."""
