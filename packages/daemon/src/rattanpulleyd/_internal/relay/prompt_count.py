"""Counts the prompts of this host that an engine reads."""

from rattanpulley_core import serving


class PromptCount:
    """Counts an attempt whose prompt is being read, until its first event."""

    def __init__(self, load: serving.TargetLoad) -> None:
        self._load = load
        self._counted = True
        load.prefills += 1

    def end(self) -> None:
        """Stops counting; further calls do nothing."""
        if self._counted:
            self._counted = False
            self._load.prefills -= 1
