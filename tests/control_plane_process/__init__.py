"""Tests of the control scheduler's process, apart from its replica."""
