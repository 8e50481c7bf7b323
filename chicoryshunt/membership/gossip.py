"""Messages of the membership protocol."""

import msgspec

from chicoryshunt.membership.roster import Update
from chicoryshunt.types import VmId


class MemberLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests running on a VM; the highest heartbeat is the newest."""

    vm: VmId
    heartbeat: int
    load: int


class Gossip(msgspec.Struct, frozen=True, array_like=True):
    """Gossip in every message; equal digests mean equal rosters."""

    digest: int
    updates: tuple[Update, ...] = ()
    loads: tuple[MemberLoad, ...] = ()


class Probe(msgspec.Struct, frozen=True, array_like=True, tag='mp'):
    """Probe of a VM; ``join`` requests its whole roster as well."""

    number: int
    gossip: Gossip
    join: bool = False


class ProbeAnswer(msgspec.Struct, frozen=True, array_like=True, tag='ma'):
    """Answer to the probe with this number."""

    number: int
    gossip: Gossip


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True, tag='mr'):
    """Request to probe a VM that has not answered the sender."""

    number: int
    subject: VmId
    gossip: Gossip


class News(msgspec.Struct, frozen=True, array_like=True, tag='mn'):
    """Updates that are sent without waiting for the next probe."""

    gossip: Gossip
