"""Randomized faults on real node processes, with promises checked."""
