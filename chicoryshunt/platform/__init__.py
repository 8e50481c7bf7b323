"""Adapter that runs a node on the users' platform and speaks its wire."""
