"""What each target bears, lent out by its keeper to the other nodes."""
