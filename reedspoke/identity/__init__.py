"""Who calls and what they may do. Decisions: keys, token, believed, rights, gate. Files, fronts: sources,
keeper, signing."""
