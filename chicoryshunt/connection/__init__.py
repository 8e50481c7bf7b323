"""HTTP connections to callers, targets and the platform."""
