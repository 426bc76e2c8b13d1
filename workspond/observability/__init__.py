"""Observability: the log, counters of events, and traces of requests that end badly."""
