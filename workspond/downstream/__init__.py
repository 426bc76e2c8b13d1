"""The clients' side: the listener and the connections that it accepted."""
