"""A caller that follows every rule of the interface."""
