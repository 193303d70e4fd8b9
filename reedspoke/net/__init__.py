"""The real scheduler: the decision module on sockets."""
