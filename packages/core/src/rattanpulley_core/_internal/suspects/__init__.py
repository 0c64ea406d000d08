"""Implementation of the public module `suspects`."""
