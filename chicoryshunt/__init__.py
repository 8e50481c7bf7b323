"""A serving system for generations of unknown length."""
