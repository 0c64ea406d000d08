"""Tests of bounds that a reload changes."""

import types

import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import program
from rattanpulleyd._internal.relay import settings
from rattanpulleyd._internal.relay.refresh import config_refresh
from rattanpulleyd._internal.relay.refresh import target_refresh

BOUNDS = settings.RelayBounds(
    key_removal_s=4.0,
    shutdown_grace_s=8.0,
    retry_window_s=9.0,
    retry_ratio=0.0,
    retry_slack=3.0,
    config_activation_s=1.0,
    target_leave_s=1.0,
    exposed_share=0.25,
    exposed_slack=7.0,
)


# A reload logged changed bounds that running objects did not apply.
def test_reload_reaches_all_that_keeps_a_bound():
    context = relay_builders.make_context("h")
    context.trials = serving.TrialTable(
        serving.VersionGate(), 0.1, 50.0, context.rng
    )
    context.cached_config.accept(relay_builders.config(1), 0.0)
    window = context.retry_budget.window_of("pool")
    relay = types.SimpleNamespace(
        _context=context,
        _config_refresh=config_refresh.ConfigRefresh(context, None, None, 2.0),
        _target_refresh=target_refresh.TargetRefresh(context, None, None, 2.0),
    )
    program.RelayProgram._apply_bounds(relay, BOUNDS)
    period_s = relay._config_refresh._period_s
    assert period_s == config_refresh.CONFIG_PERIOD_FRACTION
    assert relay._target_refresh._freshness.leave_s == 1.0
    retries = [bool(window.try_acquire(0.0)) for _ in range(4)]
    assert retries == [True] * 3 + [False]
    assert (context.trials._share, context.trials._slack) == (0.25, 7.0)
    idle_s = serving.ClientLimits().idle_timeout_s
    assert context.cached_config.close_idle_after_s(0.5) == idle_s + 1.0
