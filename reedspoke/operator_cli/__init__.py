"""Command line for the operators of a fleet: an HTTP client of the control plane's interface."""
