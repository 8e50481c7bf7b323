"""Client library that follows the rules of the API for callers."""
