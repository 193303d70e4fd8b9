"""The control log on disk: its file format, its records and the thread that writes it."""
