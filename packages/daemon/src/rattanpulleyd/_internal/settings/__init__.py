"""Model and parser of the settings file."""
