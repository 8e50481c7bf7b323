"""Real processes under failures, with promises counted."""
