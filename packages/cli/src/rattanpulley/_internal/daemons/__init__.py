"""Client of the daemons."""
