"""Benchmarks of calls and endpoint list changes, by the number of servers."""
