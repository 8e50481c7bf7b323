"""What the node believes of targets and other nodes, and from where."""
