"""Discovery: the watch on the endpoint list, and the list's JSON format."""
