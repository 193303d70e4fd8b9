"""Delivery of published state to data plane schedulers over sessions, and fleet membership."""
