"""Load reports of the targets."""
