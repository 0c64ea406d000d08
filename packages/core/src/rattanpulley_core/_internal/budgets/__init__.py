"""Implementation of the public module `budgets`."""
