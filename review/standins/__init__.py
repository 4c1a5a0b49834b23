"""Stand-ins for the platform, instances and clients that the review's scripts use."""
