"""Service discovery: calls a discovery agent and keeps the endpoint list up to date."""
