"""Stand-ins for the servers, discovery agents and clients of a node, shared by tests, soak and bench."""
