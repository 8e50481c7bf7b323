"""Stand-ins, experiments and benchmarks."""
