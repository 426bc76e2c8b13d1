"""The load-balancing policy: typed events in, typed actions out, no I/O and no clock of its own."""
