"""Connections and messages between control plane nodes."""
