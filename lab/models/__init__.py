"""Models of nodes and targets on virtual clocks and fake networks."""
