"""Public names of the resume token subject."""

from rattanpulley_core._internal.resume_token import signer

Signer = signer.Signer
EventIdEncoder = signer.EventIdEncoder
DecodedEventId = signer.DecodedEventId
ResumeTokenError = signer.ResumeTokenError
