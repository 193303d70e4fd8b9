"""A front over TLS: names and their certificates, handshakes within bounds, the store."""
