"""The client-facing side: the listener and the client connections."""
