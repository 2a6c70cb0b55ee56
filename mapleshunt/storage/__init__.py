"""A gateway's durable store for its replicas: an embedded database, checked as it is read, and its writer."""
