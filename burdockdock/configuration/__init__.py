"""The fleet's configuration: text, checks, versions, acceptance."""
