"""Reads what an engine reports of itself."""

import abc

from rattanpulley_core import serving


class TargetReportReader(abc.ABC):
    """Reads the page on which a target reports its state."""

    @property
    @abc.abstractmethod
    def path(self) -> bytes:
        """Path of the page; it is answered without a free place."""

    @abc.abstractmethod
    def read(self, body: bytes) -> serving.TargetReport:
        """Returns the report; unreadable parts are left out."""
