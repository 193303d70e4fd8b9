"""Decisions of the data plane, split by concern. Nothing here does I/O or reads a clock."""
