"""A randomized soak: real nodes among stand-ins on loopback, faults by schedule, rules checked on sockets."""
