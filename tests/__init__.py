"""Tests, in folders that mirror those of the package."""
