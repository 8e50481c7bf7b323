"""Nodes and targets on virtual clocks and fake networks."""
