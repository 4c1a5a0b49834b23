"""Small stand-ins for the platform and for backend servers, for demos and tests."""
