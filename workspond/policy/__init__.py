"""The load-balancing decisions: typed events in, typed actions out, no I/O."""
