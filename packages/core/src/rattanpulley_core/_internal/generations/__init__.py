"""Generation lifecycle: attempts, token journal, delivery and resume."""
