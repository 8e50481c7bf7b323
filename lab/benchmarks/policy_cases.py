"""Cases of the policy bench: a workload, faults and a decider."""

from dataclasses import dataclass, replace
from enum import Enum
from types import MappingProxyType

from chicoryshunt.types import Profile
from lab.benchmarks.policy_figures import Figures, Spread, measure, spread
from lab.models.policy_deciders import LeastOutstanding, NodeDecider, RoundRobin
from lab.models.policy_fleet import Fleet, Sharing
from lab.models.policy_model import (
    Decider,
    Fault,
    FaultKind,
    Ledger,
    Model,
    Outcome,
)
from lab.models.policy_workload import Burst, Lengths, Workload, draw_arrivals
from lab.standins.batching import EngineSpec

ENGINES = 6
ROUND_ROBIN_LIMIT = 32
BURST_START = 60
BURST_END = 100
_BURST_TAIL = 20
_BURST_TEAM_NUMBER = 2
BURST_TEAM = f'team-{_BURST_TEAM_NUMBER}'


class Policy(Enum):
    """Who decides."""

    round_robin = 'round-robin, 32 each'
    least_outstanding = 'least outstanding'
    stall = 'stall profile'
    preemption = 'preemption profile'
    three_leased = 'stall, 3 nodes, leases'
    nine_leased = 'stall, 9 nodes, leases'
    three_shared = 'stall, 3 nodes, shares'
    nine_shared = 'stall, 9 nodes, shares'
    nine_parted = 'stall, 9 nodes, leased parts'


_FLEETS = MappingProxyType(
    {
        Policy.three_leased: (Sharing.leases, 3),
        Policy.nine_leased: (Sharing.leases, 9),
        Policy.three_shared: (Sharing.shares, 3),
        Policy.nine_shared: (Sharing.shares, 9),
        Policy.nine_parted: (Sharing.parts, 9),
    },
)


class Scenario(Enum):
    """What happens beside the steady load."""

    steady = 'steady'
    short_burst = 'burst of short calls'
    team_burst = "one team's burst"
    data_centre = 'data centre leaves and returns'
    cold = 'unannounced cold starts'
    death = 'an engine dies and restarts'


@dataclass(frozen=True, slots=True)
class Case:
    """One run."""

    scenario: Scenario
    lengths: Lengths
    load: float
    seed: int
    policy: Policy
    seconds: float

    def by(self, policy: Policy) -> 'Case':
        """Return the same case decided by another policy."""
        return replace(self, policy=policy)

    def within(self, scenario: Scenario) -> 'Case':
        """Return the same case in another scenario."""
        return replace(self, scenario=scenario)

    def at_load(self, load: float) -> 'Case':
        """Return the same case at another load."""
        return replace(self, load=load)


@dataclass(frozen=True, slots=True)
class Result:
    """Figures of one case, and stalls of each team around the burst."""

    case: Case
    figures: Figures
    teams: dict[str, Spread]


def run_case(case: Case) -> Result:
    """Run one case from its seed."""
    workload = _build_workload(case)
    arrivals = draw_arrivals(workload)
    model = Model(
        arrivals,
        workload.spec,
        ENGINES,
        _list_faults(case.scenario),
    )
    decider = _build_decider(case.policy, workload.spec)
    ledger = model.run(decider, case.seconds)
    return Result(case, measure(ledger), _measure_teams(ledger))


def _build_workload(case: Case) -> Workload:
    return Workload(
        case.lengths,
        case.load,
        case.seconds,
        case.seed,
        ENGINES,
        burst=_find_burst(case.scenario),
    )


def _find_burst(scenario: Scenario) -> Burst | None:
    match scenario:
        case Scenario.short_burst:
            return Burst(0, BURST_START, BURST_END, 3, 1)
        case Scenario.team_burst:
            return Burst(_BURST_TEAM_NUMBER, BURST_START, BURST_END, 2, 0.2)
        case _:
            return None


def _list_faults(scenario: Scenario) -> tuple[Fault, ...]:
    match scenario:
        case Scenario.data_centre:
            return (
                Fault(60, FaultKind.leave, 0),
                Fault(60, FaultKind.leave, 1),
                Fault(120, FaultKind.back, 0),
                Fault(120, FaultKind.back, 1),
            )
        case Scenario.cold:
            return (
                Fault(60, FaultKind.chill, 0),
                Fault(100, FaultKind.chill, 1),
            )
        case Scenario.death:
            return (
                Fault(60, FaultKind.die, 0),
                Fault(90, FaultKind.restart, 0),
            )
        case _:
            return ()


def _build_decider(policy: Policy, spec: EngineSpec) -> Decider:
    match policy:
        case Policy.round_robin:
            return RoundRobin(ENGINES, ROUND_ROBIN_LIMIT)
        case Policy.least_outstanding:
            return LeastOutstanding(ENGINES)
        case Policy.stall:
            return NodeDecider(Profile.stall, spec, ENGINES)
        case Policy.preemption:
            return NodeDecider(Profile.preemption, spec, ENGINES)
        case _:
            sharing, nodes = _FLEETS[policy]
            return Fleet(sharing, nodes, spec, ENGINES)


def _measure_teams(ledger: Ledger) -> dict[str, Spread]:
    waits: dict[str, list[float]] = {}
    for answer in ledger.answers:
        at = answer.arrival.at
        if not BURST_START <= at < BURST_END + _BURST_TAIL:
            continue
        if answer.outcome is Outcome.refused:
            continue
        stall = answer.find_wait(ledger.seconds) + answer.stall
        waits.setdefault(answer.arrival.team, []).append(stall)
    return {team: spread(times) for team, times in sorted(waits.items())}
