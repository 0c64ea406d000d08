"""The life of a generation: attempts, journal, delivery and resume."""
