"""The servers' side: attempts, the connections that carry them, and the pool of these."""
