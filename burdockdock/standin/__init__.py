"""Small stand-ins for the platform and for backend servers, to try things out."""
