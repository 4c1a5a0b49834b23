"""Admission control for the backend server beside a node, and the calls to it."""
