"""The side of the servers: attempts, the connections that carry them, and the pool of connections."""
