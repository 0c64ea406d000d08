"""Shows whether bytes move on a connection that nobody reads or writes."""

from gevent import socket

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import lingering_close


class ByteMoves:
    """Bytes of one connection in the buffers of the kernel."""

    def __init__(
        self, sock: socket.socket, reservation: serving.MemoryReservation
    ) -> None:
        """Creates an observer.

        Args:
            sock: The connection.
            reservation: Says what the connection is doing.
        """
        self._socket = sock
        self._reservation = reservation
        self._queued_bytes = 0

    def has_moved(self) -> bool:
        """Returns whether bytes have moved since the last call.

        After a stall of this process, bytes may have arrived that it has not
        read. A client on a weak link may take bytes for long before there is
        room for more. Bytes that wait for memory are no progress.
        """
        phase = self._reservation.phase
        if self._reservation.want is not None:
            return False
        if phase is serving.ConnectionPhase.CLOSING:
            # What arrives is discarded.
            return False
        if phase is not serving.ConnectionPhase.SENDING:
            return bool(lingering_close.peek(self._socket, 1))
        before_bytes = self._queued_bytes
        self._queued_bytes = lingering_close.unacknowledged_bytes(self._socket)
        return self._queued_bytes < before_bytes
