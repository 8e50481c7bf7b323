"""The parts that handle a single request."""
