"""Placement and retry decisions for single requests; performs no I/O."""
