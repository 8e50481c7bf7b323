"""Messages of the membership."""

import msgspec

from chicoryshunt.membership.roster import Update
from chicoryshunt.types import VmId


class MemberLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests running on one VM; the highest beat is the latest."""

    vm: VmId
    beat: int
    load: int


class Gossip(msgspec.Struct, frozen=True, array_like=True):
    """What every message carries; equal digests mean equal rosters."""

    digest: int
    updates: tuple[Update, ...] = ()
    loads: tuple[MemberLoad, ...] = ()


class Probe(msgspec.Struct, frozen=True, array_like=True, tag='mp'):
    """Ask for a sign of life; ``join`` asks for the whole roster too."""

    number: int
    gossip: Gossip
    join: bool = False


class ProbeAnswer(msgspec.Struct, frozen=True, array_like=True, tag='ma'):
    """Give a sign of life for the probe with this number."""

    number: int
    gossip: Gossip


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True, tag='mr'):
    """Ask another node to probe a VM that did not answer."""

    number: int
    subject: VmId
    gossip: Gossip


class News(msgspec.Struct, frozen=True, array_like=True, tag='mn'):
    """Pass updates on without waiting for the next probe."""

    gossip: Gossip
