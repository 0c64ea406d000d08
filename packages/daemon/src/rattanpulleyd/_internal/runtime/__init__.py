"""Runtime that connects the core components to the adapters."""
