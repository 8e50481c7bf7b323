"""Stand-ins of the platform and its targets, mostly one process each."""
