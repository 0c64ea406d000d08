"""Tests of the plan of a deployment."""

from rattanpulley_standins._internal.launch import plan as plan_lib


def test_ports_and_names_are_different():
    # Guards against two processes with the same port or name.
    plan = plan_lib.make_plan(plan_lib.Options(daemons=3))
    ports = [plan.platform_port, *(t.port for t in plan.targets)]
    ports += [p for d in plan.daemons for p in (d.port, d.peer_port)]
    assert len(set(ports)) == len(ports) == 1 + 10 + 6
    names = [t.name for t in plan.targets] + [d.name for d in plan.daemons]
    assert len(set(names)) == len(names)


def test_every_domain_runs_both_versions():
    # Guards against a version that runs in one failure domain only.
    plan = plan_lib.make_plan(plan_lib.Options())
    engines = {
        (t.domain, t.version) for t in plan.targets if "engine" in t.name
    }
    assert engines == {(d, v) for d in ("north", "south") for v in ("v1", "v2")}


def test_the_seed_fixes_the_keys():
    # Guards against daemons that cannot verify each other's event ids.
    one = plan_lib.make_plan(plan_lib.Options(seed=7))
    other = plan_lib.make_plan(plan_lib.Options(seed=7))
    assert one.resume_key == other.resume_key != one.peer_key
    first, second = (one.daemon_settings(d) for d in one.daemons)
    assert first["resume_keys"] == second["resume_keys"]
    listen = second["peers"]["listen"]
    address = f"{listen['host']}:{listen['port']}"
    assert first["peers"]["addresses"] == [address]
