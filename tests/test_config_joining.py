"""Tests of the wait for peers of a node without a configuration."""

from chicoryshunt.configuration.config_joining import (
    JOIN_SECONDS,
    MAX_JOIN_SECONDS,
    Joining,
)
from chicoryshunt.configuration.configuration import Configuration
from chicoryshunt.metrics import Metrics
from chicoryshunt.version.replica import Snapshot
from tests.builders import build_config


def _build_joining() -> Joining:
    joining = Joining(Configuration(Metrics()))
    joining.candidate.adopt(Snapshot(build_config(), (), ()))
    joining.tick(0)
    return joining


def test_service_counts_after_the_wait() -> None:
    joining = _build_joining()
    joining.tick(JOIN_SECONDS - 0.1)
    assert joining.is_joining
    joining.tick(JOIN_SECONDS)
    assert not joining.is_joining


def test_offer_of_a_peer_lengthens_the_wait() -> None:
    joining = _build_joining()
    joining.record_offer(JOIN_SECONDS - 0.1)
    joining.tick(JOIN_SECONDS)
    assert joining.is_joining


def test_offers_that_lead_nowhere_end() -> None:
    joining = _build_joining()
    joining.record_offer(MAX_JOIN_SECONDS)
    joining.tick(MAX_JOIN_SECONDS)
    assert not joining.is_joining
