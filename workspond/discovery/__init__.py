"""The endpoint list: calls to the discovery agent, the watch, and the lists that it returns."""
