"""Tests of the object store and the host list."""

import pytest

from rattanpulley_standins._internal.platform import hosts as hosts_lib
from rattanpulley_standins._internal.platform import store as store_lib


def test_a_write_needs_the_stored_version():
    # Guards against two concurrent writers of which one silently loses.
    store = store_lib.Store()
    assert store.put("a", 1, 0).version == 1
    with pytest.raises(store_lib.ConflictError) as raised:
        store.put("a", 2, 0)
    assert raised.value.version == 1
    assert store.put("a", 2, 1).version == 2


def test_versions_keep_increasing_after_a_delete():
    # Guards against one version number for two contents of an object.
    store = store_lib.Store()
    store.put("a", 1, 0)
    store.delete("a", 1)
    assert store.get("a") is None
    assert store.put("a", 2, 0).version == 3


def test_a_stale_read_returns_the_previous_state():
    # Guards against a stale read that returns the current state.
    store = store_lib.Store()
    store.put("a", 1, 0)
    store.put("a", 2, 1)
    entry = store.get("a", stale=True)
    assert entry is not None
    assert entry.value == 1


def test_changes_are_those_after_the_revision():
    # Guards against a watch that misses a write or a delete.
    store = store_lib.Store()
    store.put("t/a", 1, 0)
    store.put("u/b", 1, 0)
    store.put("t/c", 1, 0)
    store.delete("t/c", 1)
    changes = store.changes("t/", 1)
    assert [(c.key, c.revision, c.deleted) for c in changes] == [
        ("t/c", 4, True)
    ]


def test_the_host_list_lags():
    # Guards against a host list that shows a change immediately.
    host = hosts_lib.Host("e", "north", "http://127.0.0.1:1", "engine", "v1")
    hosts = hosts_lib.LaggingHosts([host], lag_s=2.0)
    hosts.set_state("e", "leaving", now_s=10.0)
    hosts.set_state("e", "absent", now_s=11.0)
    assert [h.state for h in hosts.visible(11.9)] == ["live"]
    assert [h.state for h in hosts.visible(12.0)] == ["leaving"]
    assert hosts.visible(13.0) == []
