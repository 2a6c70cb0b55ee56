"""A gateway's durable store for its replicas: an embedded database with checksums, and its writer."""
