"""The interface for callers: generations and calls sent to targets."""
