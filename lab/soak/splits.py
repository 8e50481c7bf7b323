"""Faults of the datagrams between nodes."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from lab.soak.datagrams import Datagrams
from lab.soak.world import World
from lab.standins.platform_files import build_crowding


@dataclass(frozen=True, slots=True)
class DisturbDatagrams:
    """Lose a share of the datagrams, and delay a share of the others."""

    share: float


@dataclass(frozen=True, slots=True)
class Split:
    """Cut nodes off from the others while requests wait for engines."""

    nodes: tuple[int, ...]


@contextmanager
def disturb_datagrams(
    world: World, fault: DisturbDatagrams | Split
) -> Iterator[None]:
    """Cause a fault; undo it at the end of the block."""
    datagrams = world.datagrams
    assert datagrams is not None
    match fault:
        case DisturbDatagrams(share):
            _set_share(datagrams, share)
        case Split(indices):
            hosts = (world.nodes[index].host for index in indices)
            datagrams.side = frozenset(hosts)
            world.changes = build_crowding()
            world.publish_rules()
    try:
        yield
    finally:
        match fault:
            case DisturbDatagrams():
                _set_share(datagrams, 0)
            case Split():
                datagrams.side = frozenset()
                world.changes = {}
                world.publish_rules()


def _set_share(datagrams: Datagrams, share: float) -> None:
    datagrams.loss = share
    datagrams.late = share
