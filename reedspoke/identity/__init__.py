"""Who calls and what they may do. Decisions: keys, token. Nothing of it is wired to a front as yet."""
