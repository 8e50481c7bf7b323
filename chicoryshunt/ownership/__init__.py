"""Requests that run at most once, each decided by the owner of its grant."""
