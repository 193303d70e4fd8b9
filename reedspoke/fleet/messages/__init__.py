"""Messages between the schedulers of a fleet, one module for each protocol, and the frames that carry them.

Owns: the fields and the tag of every message, and the encoding of frames. Holds no state and performs no
I/O. Layering: the modules of the protocols build on `sizes`, `errors` and `fields`. Only `frame` imports the
messages of all protocols, including `fleet.replicated_log.messages`. The package imports nothing else from
the rest of the program, except `reedspoke.errors`.
"""
