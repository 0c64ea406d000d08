"""Small fakes that drive seeded version moves."""
