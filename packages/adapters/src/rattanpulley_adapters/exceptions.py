"""Exceptions of the adapters; their messages are shown to the user."""


class AdapterError(Exception):
    """Base class of the exceptions that this package defines.

    Attributes:
        hint: How the user can correct the error.
    """

    def __init__(self, message: str, hint: str) -> None:
        super().__init__(f"{message} ({hint})")
        self.hint = hint


class InvalidUrlError(AdapterError):
    """A base URL does not have the form http://ADDRESS:PORT."""

    def __init__(self, url: str) -> None:
        super().__init__(
            f"{url!r} is not a base URL",
            "use http://ADDRESS:PORT without a path",
        )
