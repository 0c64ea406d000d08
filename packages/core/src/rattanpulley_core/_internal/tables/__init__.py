"""Routes and pools: rows, checks, versions and audit entries."""
