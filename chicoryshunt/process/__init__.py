"""The node process."""
