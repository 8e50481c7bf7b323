"""Load generators, and ledgers of the answers that they received."""
