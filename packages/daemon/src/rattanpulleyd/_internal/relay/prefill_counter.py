"""Counts the prompts of this host that an engine prefills."""

from rattanpulley_core import serving


class PrefillCounter:
    """Counts an attempt as in prefill until its first event."""

    def __init__(self, load: serving.TargetLoad) -> None:
        self._load = load
        self._counted = True
        load.prefills += 1

    def end(self) -> None:
        """Removes the attempt from the count; further calls do nothing."""
        if self._counted:
            self._counted = False
            self._load.prefills -= 1
