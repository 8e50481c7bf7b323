"""Adapter between the users' platform and the product; it only translates."""
