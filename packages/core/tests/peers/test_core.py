"""Tests of membership and fact dissemination on a simulated network."""

from rattanpulley_core import peers
from rattanpulley_standins import peer_fleet


def start_fleet(count: int, domains: int = 2) -> peer_fleet.Fleet:
    fleet = peer_fleet.Fleet()
    for index in range(count):
        member = peer_fleet.make_member(f"d{index}", f"domain{index % domains}")
        fleet.add(member, seeds=("d0:1", "d1:1"))
    fleet.run(15)
    return fleet


def test_all_daemons_discover_each_other():
    # Guards against daemons that only learn of the members in the seed list.
    fleet = start_fleet(12, domains=3)
    for name in fleet.cores_by_name:
        states = fleet.states_at(name)
        assert len(states) == 11
        assert set(states.values()) == {peers.MemberState.ALIVE}


def test_streams_per_daemon_do_not_grow_with_the_fleet():
    # Guards against a full mesh, whose streams grow with the fleet.
    fleet = start_fleet(40, domains=4)
    for core in fleet.cores_by_name.values():
        opened = [
            row for row in core.state.stream_table if row.address is not None
        ]
        assert len(opened) <= 4


def test_dead_daemon_is_removed_everywhere():
    # Guards against a dead member that peers still report as alive.
    fleet = start_fleet(8)
    fleet.kill("d3")
    fleet.run(20)
    for name in fleet.cores_by_name:
        assert fleet.states_at(name)["d3"] is peers.MemberState.DEAD


def test_leaving_daemon_is_not_suspected():
    # Guards against a graceful shutdown that is treated as a failure.
    fleet = start_fleet(8)
    fleet.post("d3", peers.Leaving())
    fleet.run(0.5)
    fleet.kill("d3")
    fleet.run(20)
    for name in fleet.cores_by_name:
        assert fleet.states_at(name)["d3"] is peers.MemberState.LEFT


def test_paused_daemon_returns_with_a_new_incarnation():
    # Guards against a resumed daemon that stays dead because its old
    # incarnation cannot refute the report.
    fleet = start_fleet(8)
    fleet.paused.add("d3")
    fleet.run(25)
    assert fleet.states_at("d4")["d3"] is peers.MemberState.DEAD
    fleet.paused.clear()
    fleet.run(25)
    for name in set(fleet.cores_by_name) - {"d3"}:
        assert fleet.states_at(name)["d3"] is peers.MemberState.ALIVE
    assert fleet.cores_by_name["d3"].own.incarnation > 1


def test_own_pause_suspects_no_peer():
    # Guards against a resumed daemon that mistakes its own pause for silence of
    # its peers.
    fleet = start_fleet(8)
    fleet.paused.add("d3")
    fleet.run(2)
    fleet.paused.clear()
    fleet.run(1)
    assert set(fleet.states_at("d3").values()) == {peers.MemberState.ALIVE}


def test_silent_stream_is_replaced():
    # Guards against a stream that stays open although its messages are lost.
    fleet = start_fleet(2)
    fleet.cuts.add(frozenset(("d0", "d1")))
    fleet.run(3.5)
    fleet.cuts.clear()
    fleet.run(3)
    assert fleet.states_at("d0")["d1"] is peers.MemberState.ALIVE
    core = fleet.cores_by_name["d0"]
    assert core.state.stream_table.open_peer_names() == {"d1"}
    assert core.state.counters.silent_streams > 0


def test_wrong_key_is_rejected():
    # Guards against accepting a peer that does not have the shared key.
    fleet = peer_fleet.Fleet()
    fleet.add(peer_fleet.make_member("d0"))
    fleet.keys = (b"other",)
    fleet.add(peer_fleet.make_member("d1"), seeds=("d0:1",))
    fleet.run(5)
    assert fleet.states_at("d0") == {}
    assert fleet.cores_by_name["d0"].state.counters.bad_proofs > 0


def test_keys_rotate_without_downtime():
    # Guards against a key rotation that separates daemons while only some of
    # them use the new key.
    fleet = peer_fleet.Fleet()
    fleet.keys = (b"old", b"new")
    fleet.add(peer_fleet.make_member("d0"))
    fleet.keys = (b"new", b"old")
    fleet.add(peer_fleet.make_member("d1"), seeds=("d0:1",))
    fleet.run(5)
    assert set(fleet.states_at("d0")) == {"d1"}


def test_fact_reaches_all_daemons_after_a_partition():
    # Guards against a fact that never crosses a healed partition.
    fleet = start_fleet(8)
    north = [name for name in fleet.cores_by_name if int(name[1:]) % 2]
    south = [name for name in fleet.cores_by_name if name not in north]
    fleet.cuts = {frozenset((n, s)) for n in north for s in south}
    fact = peers.FactPublished(
        peers.FactKind.VERDICT, "assistant/v2/move-1", 1, b"bad", None
    )
    fleet.post(north[0], fact)
    fleet.run(40)
    kind = peers.FactKind.VERDICT
    for name in south:
        facts = fleet.cores_by_name[name].state.fact_table
        assert facts.get(kind, fact.key) is None
    fleet.cuts.clear()
    fleet.run(60)
    for core in fleet.cores_by_name.values():
        assert core.state.fact_table.get(kind, fact.key) is not None


def test_table_content_comes_from_a_peer():
    # Guards against a daemon that gets no table while it cannot reach the
    # platform.
    fleet = start_fleet(2)
    fleet.post("d0", peers.TableAvailable("routes", 7, b"content"))
    fleet.post("d1", peers.TableWanted("routes", 3))
    fleet.run(1)
    learned = peers.TableReceived("routes", 7, b"content")
    assert learned in fleet.learned_by_name["d1"]


def test_older_table_content_is_not_sent():
    # Guards against a peer that sends an older table.
    fleet = start_fleet(2)
    fleet.post("d0", peers.TableAvailable("routes", 7, b"content"))
    fleet.post("d0", peers.TableAvailable("routes", 6, b"older"))
    fleet.post("d1", peers.TableWanted("routes", 7))
    fleet.run(1)
    learned = fleet.learned_by_name["d1"]
    assert not any(
        isinstance(action, peers.TableReceived) for action in learned
    )
