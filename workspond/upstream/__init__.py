"""The server-facing side: attempts, the connections that they use and the connection pool."""
