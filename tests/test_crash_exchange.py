"""Tests of how nodes tell each other of crashes, on simulated networks."""

from chicoryshunt.dispatch.crash_suspects import PartKey
from chicoryshunt.types import TargetId
from tests.crash_fleet import CrashFleet

FIRST, BAD, OTHER = (PartKey(number) for number in range(1, 4))
E1, E2 = TargetId('e1'), TargetId('e2')


def _report_twice(fleet: CrashFleet, *parts: PartKey) -> None:
    fleet.report(0, E1, parts)
    fleet.run(2)
    fleet.report(1, E2, parts)


def test_all_nodes_block_after_two_crashes() -> None:
    fleet = CrashFleet(12)
    _report_twice(fleet, FIRST, BAD)
    fleet.run(0.3)

    assert fleet.count_blocking(FIRST, BAD) == 12
    assert not fleet.count_blocking(FIRST, OTHER)


def test_lost_reports_are_made_up_for() -> None:
    """Guards against a node that goes on sending a crashing prompt."""
    fleet = CrashFleet(12, loss=1)
    _report_twice(fleet, FIRST, BAD)
    fleet.set_loss(0.3)
    fleet.run(20)

    assert fleet.count_blocking(FIRST, BAD) == 12


def test_a_node_that_starts_learns_of_crashes() -> None:
    """Guards against a restarted node that sends a crashing prompt."""
    fleet = CrashFleet(12)
    _report_twice(fleet, FIRST, BAD)
    fleet.restart(3)
    fleet.run(1.5)

    assert fleet.count_blocking(FIRST, BAD) == 12


def test_a_part_known_as_sound_is_cleared() -> None:
    fleet = CrashFleet(12)
    fleet.clear(7, (FIRST,))
    _report_twice(fleet, FIRST, BAD)
    fleet.run(0.6)

    assert fleet.count_blocking(BAD, OTHER) == 12
    assert not fleet.count_blocking(FIRST, OTHER)


def test_a_sound_run_unblocks_on_all_nodes() -> None:
    fleet = CrashFleet(12)
    _report_twice(fleet, BAD)
    fleet.run(0.3)
    fleet.clear(5, (BAD,))
    fleet.run(0.3)

    assert not fleet.count_blocking(BAD)


def test_a_common_part_costs_few_messages() -> None:
    """Guards against answers of all nodes to all nodes after a crash."""
    fleet = CrashFleet(60)
    for node in range(1, 60):
        fleet.clear(node, (FIRST,))
    before = fleet.count_messages()
    fleet.report(0, E1, (FIRST,))
    fleet.run(0.6)

    # A report to each node, an answer from each, and that it is cleared.
    assert fleet.count_messages() - before <= 3 * 60 * 1.2
