"""At-most-once actions: claims, outcomes and their settlement."""
