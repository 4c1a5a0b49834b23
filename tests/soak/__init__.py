"""Randomized soak test of real processes: ``python -m tests.soak --seeds 1-50``."""
