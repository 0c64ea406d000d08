"""Questions to the daemons."""
