"""Reading, distributing and applying the patch log on a node."""
