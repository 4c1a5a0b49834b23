"""The node process: assembles, starts and stops the components of a node."""
