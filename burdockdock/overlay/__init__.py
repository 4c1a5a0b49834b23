"""Overlay network: failure detection, gossip and state exchange between nodes."""
