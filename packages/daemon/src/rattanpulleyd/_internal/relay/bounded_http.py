"""HTTP calls whose responses are bounded in size and duration.

A peer in trouble may send bytes without end, or one byte now and then. The
timeout of a read does not end such a response, since each read succeeds.
"""

import gevent
import urllib3

from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.sockets import late_reads
from rattanpulleyd._internal.sockets import read_turn

READ_BYTES = 64 * 1024


class ResponseBoundsError(Exception):
    """A response is larger or takes longer than allowed."""


class ResponseTooLongError(ResponseBoundsError):
    """A response has more bytes than its reader allows."""


def read_body(
    response: urllib3.BaseHTTPResponse, max_bytes: int, until_s: float
) -> bytes:
    """Returns the body of a response that was requested without preloading.

    The connection is reusable after a complete body and closed otherwise.

    Args:
        response: Response whose body has not been read.
        max_bytes: Maximum size of the body.
        until_s: Time on `clock.now_s` until which the body must be complete.
            What has arrived by then is still read.

    Raises:
        ResponseTooLongError: The body is too large.
        ResponseBoundsError: The body is not complete in time.
        urllib3.exceptions.HTTPError: The connection failed.
    """
    left_s = until_s - clock.now_s()
    if left_s <= 0:
        # This process was stalled while it waited for the head.
        left_s = late_reads.LATE_READ_S
    # A read does not return while trailers arrive, so it is interrupted.
    error = ResponseBoundsError("not complete in time")
    try:
        with gevent.Timeout(left_s, error):
            body = _read_limited(response, max_bytes, until_s)
    except BaseException:
        response.close()
        raise
    response.release_conn()
    return body


def _read_limited(
    response: urllib3.BaseHTTPResponse, max_bytes: int, until_s: float
) -> bytes:
    body = bytearray()
    turn = read_turn.ReadTurn()
    late = late_reads.LateReads()
    while part := response.read1(READ_BYTES):
        body += part
        if len(body) > max_bytes:
            raise ResponseTooLongError(f"more than {max_bytes} bytes")
        # The rest may have arrived while this process was stalled.
        if late.are_over(clock.now_s(), until_s):
            raise ResponseBoundsError("not complete in time")
        turn.yield_if_long()
    return bytes(body)
