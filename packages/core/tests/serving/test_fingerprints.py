"""Tests of the fingerprints of requests."""

from rattanpulley_core import serving


def test_only_equal_content_of_one_account_has_the_same_fingerprint():
    # Guards against requests that are taken for repetitions of another one.
    parts = (b"GET", b"shop", b"/stock/1", b"")
    fingerprint = serving.request_fingerprint("a", parts)
    assert serving.request_fingerprint("a", list(parts)) == fingerprint
    others = [
        serving.request_fingerprint("b", parts),
        serving.request_fingerprint("a", (b"PUT", b"shop", b"/stock/1", b"")),
        serving.request_fingerprint("a", (b"GET", b"shop", b"/stock/", b"1")),
        serving.request_fingerprint("aG", (b"ET", b"shop", b"/stock/1", b"")),
    ]
    assert len({fingerprint, *others}) == 5
