"""Tests of how the configuration is confirmed."""

import pytest
import refresh_fakes
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay.refresh import config_refresh


class ConfigStore:
    """A store that turns this host away."""

    def read_config(self, timeout_s: float) -> serving.ServingConfig | None:
        raise serving.SourceError("status 503")


def test_host_that_the_store_turns_away_asks_any_other_host(fake_clock):
    # Guards against keys that lapse at the leader of a domain, which asks no
    # other host, while the store serves the others.
    context = relay_builders.make_context("a")
    context.cached_config.accept(relay_builders.config(7), fake_clock.now)
    asked = []

    def confirmed_at_s(age_limit_s, any_host=False):
        asked.append(any_host)
        if len(asked) > 20:
            raise refresh_fakes.EndOfTestError
        return fake_clock.now - 0.5 if any_host else None

    peers = refresh_fakes.make_peers(None, serving.DOMAIN_LEADER_PERIODS)
    peers.config_confirmed_at_s = confirmed_at_s
    refresh = config_refresh.ConfigRefresh(
        context, ConfigStore(), peers, activation_s=4.0
    )
    with pytest.raises(refresh_fakes.EndOfTestError):
        refresh.run_forever()
    assert context.cached_config.age_s(fake_clock.now) < 2.0


class SlowLink:
    """A store whose configuration takes a while to arrive.

    Attributes:
        needed_s: How long the configuration takes to arrive.
        answers: Whether the store answers at all.
        timeouts_s: Time limits of all reads.
    """

    def __init__(self, clock, config: serving.ServingConfig) -> None:
        self.needed_s = 0.0
        self.answers = True
        self.timeouts_s: list[float] = []
        self._clock = clock
        self._config = config

    def read_config(self, timeout_s: float) -> serving.ServingConfig:
        self.timeouts_s.append(timeout_s)
        self._clock.now += min(timeout_s, self.needed_s)
        if not self.answers:
            raise serving.SourceTimeoutError("no answer")
        if timeout_s < self.needed_s:
            raise serving.SourceError("not complete in time")
        return self._config


def _read(context, source, activation_s=4.0):
    peers = refresh_fakes.make_peers(None)
    peers.config_confirmed_at_s = lambda *_arguments, **_options: None
    refresh = config_refresh.ConfigRefresh(context, source, peers, activation_s)
    return refresh._refresh


@pytest.fixture
def logged_context():
    context = relay_builders.make_logged_context("a")
    context.log.change = context.log.failure
    return context


# A configuration of 1 MB takes 1.6 s on a link of 5 Mbit/s. No read of it ended
# in time, so that the host refused all requests once the cached one was too
# old.
def test_configuration_that_arrives_slowly_is_read(logged_context, fake_clock):
    source = SlowLink(fake_clock, relay_builders.config(8))
    source.needed_s = 1.6
    read = _read(logged_context, source)
    assert not read()
    assert read()
    assert logged_context.cached_config.config.version == 8
    # The next change is read at once.
    assert read()


# Guards against a store that is waited for without end, or for longer than
# needed when it does not answer at all.
def test_time_for_a_read_is_bounded(logged_context, fake_clock):
    source = SlowLink(fake_clock, relay_builders.config(8))
    source.needed_s = 60.0
    read = _read(logged_context, source)
    for _ in range(9):
        assert not read()
    assert max(source.timeouts_s) < 4.0
    source.answers = False
    for _ in range(2):
        assert not read()
    assert source.timeouts_s[-1] < 1.0


# Refusals come at once; a store that falls silent after them is left in time.
def test_refused_reads_get_no_more_time(logged_context, fake_clock):
    source = ConfigStore()
    read = _read(logged_context, source)
    assert not read()
    silent = SlowLink(fake_clock, relay_builders.config(8))
    source.read_config = silent.read_config
    silent.answers = False
    assert not read()
    assert silent.timeouts_s[0] < 1.0


# One incomplete answer lengthened all later waits for a store that had stopped
# answering, from 0.9 to 1.8 s or more, within which keys lapse.
def test_time_for_a_read_shrinks_again(logged_context, fake_clock):
    source = SlowLink(fake_clock, relay_builders.config(8))
    read = _read(logged_context, source)
    source.needed_s = 3.0
    for _ in range(2):
        assert not read()
    source.needed_s = 0.1
    assert read()
    source.needed_s = 60.0
    source.answers = False
    assert not read()
    assert source.timeouts_s[-1] < 1.0
