"""How frames get from one scheduler to another: authentication, replay of old incarnations, the UDP socket.

Owns: the sequence number of sent frames, the incarnation last heard of each peer, the shared keys and the
socket. Imports `fleet.messages` and `fleet.events`; `udp_socket` alone also imports `reedspoke.net`.
"""
