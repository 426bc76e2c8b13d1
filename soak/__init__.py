"""A randomized soak test: real nodes on loopback, scheduled faults, and checks of the socket traffic."""
