"""The scheduler in service: the decision module connected to sockets."""
