"""Quotas of tenants: token buckets, shares and loans between control plane nodes."""
