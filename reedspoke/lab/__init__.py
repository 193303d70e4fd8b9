"""The laboratory: stand-ins for the systems that are served, load, experiments. Loopback addresses only."""
