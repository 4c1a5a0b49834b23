"""A running node, composed of all parts."""
