"""Callers that send load, and ledgers of what they received."""
