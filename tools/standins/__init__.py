"""Small stand-ins of outside systems, met by their published protocols."""
