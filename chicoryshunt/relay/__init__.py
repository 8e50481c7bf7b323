"""Requests on their way between callers and targets."""
