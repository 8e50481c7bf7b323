"""Chooses the VMs that a caller may use, in order of preference."""

from collections.abc import Iterable
from random import Random

from chicoryshunt.membership.roster import Member, Roster
from chicoryshunt.types import DataCentreId, VmState

KEEP_SECONDS = 3.0
_MAX_ENTRIES = 12
_CHOICES = 2


def order_entries(
    roster: Roster,
    data_centre: DataCentreId,
    rng: Random,
    max_local: int = _MAX_ENTRIES,
) -> list[Member]:
    """Return live VMs, the local ones first, in random order by load.

    At most ``max_local`` VMs of the data centre leave room for others. If no
    VM is live, return suspect VMs, and if there are none, those that are gone.
    """
    usable = _list_usable(roster)
    local = [one for one in usable if one.published.data_centre == data_centre]
    remote = [one for one in usable if one.published.data_centre != data_centre]
    chosen_local = list(_order_by_load(local, rng))[:max_local]
    ordered = [*chosen_local, *_order_by_load(remote, rng)]
    return ordered[:_MAX_ENTRIES]


def _list_usable(roster: Roster) -> list[Member]:
    for accepted in (VmState.live, VmState.suspect, VmState.gone):
        usable = [member for member in roster if member.state is accepted]
        if usable:
            return usable
    return []


def _order_by_load(members: list[Member], rng: Random) -> Iterable[Member]:
    remaining = list(members)
    for _ in range(min(len(members), _MAX_ENTRIES)):
        choices = rng.sample(remaining, min(_CHOICES, len(remaining)))
        chosen = min(choices, key=lambda member: member.load)
        remaining.remove(chosen)
        yield chosen
