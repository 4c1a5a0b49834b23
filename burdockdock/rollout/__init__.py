"""Gradual rollouts: shift a service's traffic to a new version, or roll it back."""
