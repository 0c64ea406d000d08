"""Seeded simulation of version moves with the real move managers."""
