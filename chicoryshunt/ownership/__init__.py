"""Requests that run at most once, decided by one node each."""
