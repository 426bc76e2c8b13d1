"""Test doubles for a node's servers, discovery agents and clients, shared by tests, soak and bench."""
