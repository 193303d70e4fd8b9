"""Bytes and names that must outlive every rename: written by an earlier version, never edited."""
