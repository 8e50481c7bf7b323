"""Orders that bring engines to the state that operators declare."""
