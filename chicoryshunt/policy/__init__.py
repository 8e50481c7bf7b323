"""Admission, placement and queueing decisions; performs no I/O."""
