"""Wire format of the peer messages."""
