"""The only way into one backend server."""
