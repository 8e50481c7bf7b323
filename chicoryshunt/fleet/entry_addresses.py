"""Which nodes a caller is told to connect to."""

from random import Random

from chicoryshunt.membership.entries import order_entries
from chicoryshunt.membership.roster import Roster
from chicoryshunt.types import DataCentreId

# Nodes of other data centres that are named beside the caller's own, for a
# whole data centre may lose its power while callers keep their answer.
_REMOTE_NAMED = 2
# More nodes than this in one data centre spread the load no better.
_MOST_NEAR = 10
# Fewer nodes than this in the caller's data centre are made up elsewhere.
_LEAST_NAMED = 4


def list_entry_addresses(
    roster: Roster,
    data_centre: DataCentreId,
    rng: Random,
) -> list[str]:
    """Return addresses of live nodes, the caller's data centre first."""
    ordered = order_entries(roster, data_centre, rng, _MOST_NEAR)
    near = sum(one.published.data_centre == data_centre for one in ordered)
    count = max(near + _REMOTE_NAMED, _LEAST_NAMED)
    return [one.published.caller for one in ordered[:count]]
