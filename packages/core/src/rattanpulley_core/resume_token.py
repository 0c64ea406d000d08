"""Public API for resume tokens: signing and verification of event ids."""

from rattanpulley_core._internal.resume_token import signer

Signer = signer.Signer
EventIdEncoder = signer.EventIdEncoder
DecodedEventId = signer.DecodedEventId
ResumeTokenError = signer.ResumeTokenError
