"""Soak runs of a real fleet on loopback under random troubles, judged by its invariants and by a history."""
