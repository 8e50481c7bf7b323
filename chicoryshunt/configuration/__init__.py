"""The patch log: read, spread and put in force on this node."""
