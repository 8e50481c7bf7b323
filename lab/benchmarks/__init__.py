"""Measurements, appended to results or written as a page."""
