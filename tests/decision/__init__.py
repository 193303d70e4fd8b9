"""Tests of the data plane's decisions: no I/O, no clock, no sleep."""
