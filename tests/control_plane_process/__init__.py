"""Tests of the control plane node's process and components, except for its replica."""
