"""Tests, one file per module."""
