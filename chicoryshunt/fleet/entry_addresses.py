"""Chooses the node addresses that are given to callers."""

from random import Random

from chicoryshunt.membership.entries import order_entries
from chicoryshunt.membership.roster import Roster
from chicoryshunt.types import DataCentreId

# Nodes of other data centres are listed as well, because a whole data centre
# may lose power while callers cache the list.
_REMOTE_NODES = 2
# More nodes of one data centre do not balance the load any better.
_MAX_LOCAL_NODES = 10
# A list holds this many nodes, from other data centres if necessary.
_MIN_NODES = 4


def list_entry_addresses(
    roster: Roster,
    data_centre: DataCentreId,
    rng: Random,
) -> list[str]:
    """Return addresses of live nodes, those of ``data_centre`` first."""
    ordered = order_entries(roster, data_centre, rng, _MAX_LOCAL_NODES)
    local = sum(one.published.data_centre == data_centre for one in ordered)
    count = max(local + _REMOTE_NODES, _MIN_NODES)
    return [one.published.caller for one in ordered[:count]]
