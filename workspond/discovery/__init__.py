"""Discovery: calls to the discovery agent, the watch on the endpoint list, and the lists that it returns."""
