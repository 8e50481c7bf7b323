"""The interface for callers: generations and calls on their way to targets."""
