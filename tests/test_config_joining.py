"""Tests of how long a node without a configuration waits for peers."""

from chicoryshunt.configuration.config_joining import (
    MAX_PEER_WAIT_SECONDS,
    PEER_WAIT_SECONDS,
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


def test_service_is_used_after_the_wait() -> None:
    joining = _build_joining()
    joining.tick(PEER_WAIT_SECONDS - 0.1)
    assert joining.is_joining
    joining.tick(PEER_WAIT_SECONDS)
    assert not joining.is_joining


def test_offer_of_a_peer_extends_the_wait() -> None:
    joining = _build_joining()
    joining.record_offer(PEER_WAIT_SECONDS - 0.1)
    joining.tick(PEER_WAIT_SECONDS)
    assert joining.is_joining


def test_offers_extend_the_wait_up_to_a_maximum() -> None:
    joining = _build_joining()
    joining.record_offer(MAX_PEER_WAIT_SECONDS)
    joining.tick(MAX_PEER_WAIT_SECONDS)
    assert not joining.is_joining
