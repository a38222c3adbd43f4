"""Stand-ins that simulate external systems by their published protocols."""
