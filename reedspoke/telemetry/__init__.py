"""Metrics and invariants of the programs of a fleet.

Owns: the metrics registry in Prometheus' text format, its HTTP endpoint, and the monitor that counts
evaluations and violations of invariants. Imports no other package of the program.
"""
