"""The operator file: what an installation switches on beyond the platform's program."""
