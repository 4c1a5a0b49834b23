"""The fleet's configuration: parsing, checks, deltas and acceptance of versions."""
