"""Tests of leases and grouped claims, with searches over all their states."""

import pytest

from packages.core.spec import lease_world
from packages.core.spec import search
from packages.core.spec import takeover_world
from rattanpulley_core import claims
from rattanpulley_core import interfaces
from rattanpulley_core import leases

LIMIT = 400_000


def explore_lease(duration_s, margin_s, wait_s, renewals=1, lost=0):
    settings = leases.LeaseSettings(duration_s, margin_s, wait_s)
    return search.search(
        lease_world.initial(settings, renewals, lost),
        lease_world.successors,
        lease_world.broken_invariant,
        LIMIT,
    )


@pytest.mark.parametrize(
    ("settings", "renewals", "lost"), [((3, 2, 2), 1, 0), ((2, 1, 2), 0, 1)]
)
def test_no_old_effect_comes_after_a_new_holders(settings, renewals, lost):
    # Guards against two holders whose effects overlap at a target.
    result = explore_lease(*settings, renewals, lost)
    assert result.broken is None, result.steps
    assert result.states > 5_000


@pytest.mark.parametrize(("margin_s", "wait_s"), [(0, 2), (2, 0), (1, 1)])
def test_margin_and_fencing_wait_are_needed(margin_s, wait_s):
    # Guards against a search that would accept any margin or wait.
    assert explore_lease(3, margin_s, wait_s).broken is not None


def explore_takeover(sealing):
    return search.search(
        takeover_world.initial(sealing),
        takeover_world.successors,
        takeover_world.broken_invariant,
        LIMIT,
    )


def test_new_holder_knows_every_claim_that_may_start():
    # Guards against a second run of a claim of the old holder.
    result = explore_takeover(sealing=True)
    assert result.broken is None, result.steps
    assert result.states > 1_000


def test_takeover_needs_its_seals():
    # Guards against a search that does not reach late groups.
    assert explore_takeover(sealing=False).broken is not None


SETTINGS = leases.LeaseSettings(10.0, 2.0, 5.0)


def written(action, version):
    stored = interfaces.StoredObject(action.key, action.value, version, version)
    return claims.StoreAnswered(stored)


def held_lease():
    lease = leases.Lease("r", "a", SETTINGS)
    lease.tick(0.0)
    put = lease.handle(claims.StoreAnswered(None), 1.0)[0]
    lease.handle(written(put, 1), 3.0)
    return lease, put


def test_lease_counts_from_before_the_write_was_sent():
    # Guards against a slow answer of the store that lengthens a lease.
    lease, _ = held_lease()
    assert lease.may_act(8.9)
    assert not lease.may_act(9.0)


def test_lapsed_lease_is_not_renewed():
    # Guards against a paused holder that goes on with its old fence.
    lease, _ = held_lease()
    assert isinstance(lease.tick(9.0)[0], claims.StoreGet)
    assert not lease.may_act(8.0)


def test_renewal_with_a_lost_answer_is_read_back():
    # Guards against a holder that gives a lease up for one lost answer.
    lease, _ = held_lease()
    put = lease.tick(4.0)[0]
    assert isinstance(
        lease.handle(claims.StoreOutcomeUnknown(), 5.0)[0], (claims.StoreGet)
    )
    assert lease.handle(written(put, 2), 5.0) == []
    assert (lease.fence, lease.may_act(11.9)) == (1, True)


def test_takeover_needs_an_unchanged_version_for_the_whole_duration():
    # Guards against taking over from a holder that renews.
    _, put = held_lease()
    other = leases.Lease("r", "b", SETTINGS)
    for now_s, version in ((100.0, 1), (109.0, 2), (118.0, 2)):
        assert isinstance(other.tick(now_s)[0], claims.StoreGet)
        other.handle(written(put, version), now_s)
    take = other.tick(119.0)[0]
    assert (take.value["fence"], take.expected_version) == (2, 2)
    other.handle(written(take, 3), 119.5)
    assert not other.may_act(124.4)
    assert other.may_act(124.5)


def test_full_group_is_written_before_its_window_ends():
    # Guards against groups that exceed the store's limit.
    writer = leases.GroupWriter("r", 1, "a")
    for number in range(leases.GROUP_ENTRY_LIMIT + 1):
        writer.add(str(number), None, 0.0)
    put = writer.tick(0.0)[0]
    assert len(put.value["entries"]) == leases.GROUP_ENTRY_LIMIT
    actions = writer.handle(written(put, 1), leases.GROUP_WINDOW_S)
    assert len(actions[0].entries) == leases.GROUP_ENTRY_LIMIT
    assert len(actions[1].value["entries"]) == 1


def test_sealed_writer_refuses_what_it_holds_and_what_comes():
    # Guards against an action that starts after its range was taken over.
    writer = leases.GroupWriter("r", 1, "a")
    writer.add("x", None, 0.0)
    put = writer.tick(1.0)[0]
    writer.add("y", None, 1.0)
    writer.handle(claims.StoreConflict(), 1.0)
    seal = interfaces.StoredObject(put.key, {"token": "", "sealed": 2}, 1, 1)
    refused = writer.handle(claims.StoreAnswered(seal), 1.0)[0]
    assert [digest for digest, _ in refused.not_written] == ["x", "y"]
    assert not writer.add("z", None, 2.0)
