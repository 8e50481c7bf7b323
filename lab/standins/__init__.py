"""Stand-ins for the platform and its targets, mostly one process each."""
