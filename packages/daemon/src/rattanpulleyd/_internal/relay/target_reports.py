"""Interface for decoding the reports of targets."""

import abc

from rattanpulley_core import serving


class TargetReportReader(abc.ABC):
    """Decodes the page on which a target reports its state."""

    @property
    @abc.abstractmethod
    def path(self) -> bytes:
        """Path of the page; served even when all slots are in use."""

    @abc.abstractmethod
    def read(self, body: bytes) -> serving.TargetReport:
        """Returns the report; unreadable fields get their defaults."""
