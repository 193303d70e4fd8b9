"""Tests of the data plane scheduler."""
