"""A randomized soak of real processes: ``python -m tests.soak --seeds 1-50``."""
