"""Schedulers that tell each other what they hold, where the settings allow messages between them.

Nothing of this is imported elsewhere: `net/node.py` and `adapter.py` load it when `ceilings.peer_messages`
is true (and, on sockets, the configuration names peers). Imports run downwards: shell, sharing, words."""
