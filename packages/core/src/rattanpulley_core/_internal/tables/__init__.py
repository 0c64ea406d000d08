"""Routes and pools tables: parsing, checks, versions and audit entries."""
