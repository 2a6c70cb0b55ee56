"""The admin endpoint: readiness, statistics and drains."""
