"""Implementation of the public module `resume_token`."""
