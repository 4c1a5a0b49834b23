"""Accepts calls from callers and forwards them to backend servers."""
