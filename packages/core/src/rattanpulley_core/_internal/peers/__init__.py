"""Membership among daemons and dissemination of facts."""
