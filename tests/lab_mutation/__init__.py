"""Tests of the mutation runner."""
