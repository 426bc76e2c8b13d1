"""Observability: the log, event counters, and log lines that trace failed requests."""
