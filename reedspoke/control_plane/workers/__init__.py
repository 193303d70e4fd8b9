"""Discovery of workers: the lease of the one that polls the platform, and the list that it publishes."""
