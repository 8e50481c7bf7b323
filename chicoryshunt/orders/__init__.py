"""Orders that bring engines to what operators want them to hold."""
