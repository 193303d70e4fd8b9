"""The command line: thin, each command imports what it needs."""
