"""The load-balancing policy: it turns typed events into typed actions, without I/O and without a clock."""
