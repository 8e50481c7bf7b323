"""Leases of target slots, granted by each target's keeper."""
