"""Membership of the daemons and dissemination of facts among them."""
