"""The cores by which nodes share what they observe of targets and demand."""

from dataclasses import dataclass
from random import Random

from chicoryshunt.fleet.broadcast import Broadcast
from chicoryshunt.fleet.crash_exchange import CrashExchange
from chicoryshunt.fleet.demand import Demand
from chicoryshunt.fleet.outage_exchange import OutageExchange
from chicoryshunt.fleet.pace_exchange import PaceExchange
from chicoryshunt.fleet.workload import Workload
from chicoryshunt.membership.membership import Membership
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.core import Core


@dataclass(frozen=True, slots=True)
class Exchanges:
    """Crashes and pace of engines, targets that are down, and what waits."""

    crashes: CrashExchange
    pace: PaceExchange
    outages: OutageExchange
    demand: Demand

    @property
    def cores(self) -> tuple[Core, ...]:
        """Return the cores, which send by broadcast."""
        return self.crashes, self.pace, self.outages, self.demand


def build_exchanges(
    membership: Membership,
    broadcast: Broadcast,
    workload: Workload,
    now: float,
    rng: Random,
    metrics: Metrics,
) -> Exchanges:
    """Return cores that know nothing yet."""
    return Exchanges(
        CrashExchange(membership, broadcast, now, rng),
        PaceExchange(broadcast, now, metrics),
        OutageExchange(broadcast, now, metrics),
        Demand(membership, broadcast, workload, now),
    )
