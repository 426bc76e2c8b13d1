"""What operators see: the log, counters and traces of requests."""
