"""Messages between the schedulers of a fleet, one module for each protocol, and the frames that carry them.

Owns: the shape of every message, its tag, and the bytes of a frame. Holds no state and performs no I/O.
Layering: `sizes`, `errors` and `fields` are the base, the modules of the protocols stand on them, and `frame`
alone knows all protocols, those of the replicated log from `fleet.replicated_log.messages` included. Imports
nothing else from the rest of the package or of the program, except `reedspoke.errors`.
"""
