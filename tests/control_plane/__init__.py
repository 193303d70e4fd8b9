"""Tests of the replicated control state."""
