"""Agreement on views (who votes, and the order of the chain), and the leases that rest on a view."""
