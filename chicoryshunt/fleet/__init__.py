"""State shared between nodes: targets, rules and placed runs."""
