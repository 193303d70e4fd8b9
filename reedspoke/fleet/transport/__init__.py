"""The transport of frames: authentication, rejection of frames of past incarnations, and the UDP socket.

Owns: the sequence number of sent frames, the last known incarnation of each peer, the shared keys and the
socket. Imports `fleet.messages` and `fleet.events`; only `udp_socket` also imports `reedspoke.net`.
"""
