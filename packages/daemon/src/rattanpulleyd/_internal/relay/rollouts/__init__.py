"""The host's part of the operator's rollout orders."""
