"""Decisions on one request: where, when, whether; no input or output."""
