"""Tests of what the data plane and the control plane share."""
