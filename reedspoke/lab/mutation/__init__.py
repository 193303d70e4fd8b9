"""Mutation testing of the safety guards: `reedspoke lab mutants`."""
