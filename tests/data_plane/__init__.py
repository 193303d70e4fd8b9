"""Tests of the data plane node."""
