"""A whole fleet on loopback: emulated platform, workers and clients around the real programs."""
