"""Implementation of the public module `limits`."""
