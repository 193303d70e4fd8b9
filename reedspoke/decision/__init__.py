"""Decisions of the data plane: fair queueing, placement, retries. No module does I/O or reads a clock."""
