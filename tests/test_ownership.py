"""Tests of owned requests over several nodes, under every kind of loss."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from msgspec.structs import replace

from chicoryshunt.nodes.peers import PeerError
from chicoryshunt.ownership.drain import TAKE_TABLE
from chicoryshunt.ownership.handoff import Handoff, HandoffState
from chicoryshunt.ownership.records import (
    MAX_REPLAY_BYTES,
    TableError,
    TableLimits,
)
from chicoryshunt.ownership.succession import rank_successors
from chicoryshunt.request.outcome import CallOutcome, NoAnswer, TargetAnswer
from chicoryshunt.types import Reason, RunState, VmId
from chicoryshunt.verdict import build_uncertain, refuse
from tests.owner_fleet import (
    RULES,
    Cut,
    FakeFleet,
    FakeNode,
    FakePeers,
    build_owned,
)

_VMS = ('a', 'b', 'c')
_MAX_RECORDS = 3
_TURNS = 12
_MAX_CALLERS = 6
_LOST = NoAnswer(build_uncertain(Reason.target_timeout, 'slow'))
_NOT_ACCEPTED = NoAnswer(refuse(Reason.target_refused, 'full'))
_ENDINGS = (
    TargetAnswer(200, 'text/plain', b'filed'),
    TargetAnswer(200, 'text/plain', b'x' * (MAX_REPLAY_BYTES + 1)),
    _LOST,
    _NOT_ACCEPTED,
)

_vms = st.sampled_from([VmId(vm) for vm in _VMS])
_cuts = st.sampled_from(Cut)
_callers = st.integers(0, _MAX_CALLERS - 1)
_bodies = st.sampled_from([b'{}', b'{}', b'other'])


@dataclass
class Caller:
    """One request of a caller, its grant and all its attempts."""

    key: str
    owner: VmId
    token: str
    attempts: dict[str, list['asyncio.Task[CallOutcome]']] = field(
        default_factory=lambda: defaultdict(list),
    )

    def list_attempts(self) -> list['asyncio.Task[CallOutcome]']:
        return [one for made in self.attempts.values() for one in made]


async def yield_often() -> None:
    """Let what is ready run, several turns of the loop."""
    for _ in range(_TURNS):
        await asyncio.sleep(0)


def is_whole(machine: 'OwnerMachine') -> bool:
    nodes = machine.fleet.nodes.values()
    return len(nodes) == len(_VMS) and not any(node.is_frozen for node in nodes)


def is_broken(machine: 'OwnerMachine') -> bool:
    return not is_whole(machine)


def is_leaving(machine: 'OwnerMachine') -> bool:
    return bool(machine.fleet.leaving)


def is_staying(machine: 'OwnerMachine') -> bool:
    return not machine.fleet.leaving


def has_closed(machine: 'OwnerMachine') -> bool:
    return bool(machine.closed)


def may_add_caller(machine: 'OwnerMachine') -> bool:
    return len(machine.made) < _MAX_CALLERS


class OwnerMachine(RuleBasedStateMachine):
    """Whatever is lost, each key runs once at most and refusals are true."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.fleet = FakeFleet(_VMS, TableLimits(records=_MAX_RECORDS))
        self.handoffs: dict[VmId, Handoff] = {}
        self.ran: defaultdict[str, int] = defaultdict(int)
        self.bodies: dict[asyncio.Task[CallOutcome], bytes] = {}
        self.answers: dict[str, bytes] = {}
        self.closed: set[str] = set()
        self.made: list[Caller] = []

    def teardown(self) -> None:
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.settle()
        self.loop.close()

    def settle(self) -> None:
        """Let every coroutine go as far as it can."""
        self.loop.run_until_complete(yield_often())

    def find_awake(self, vm: VmId) -> FakeNode | None:
        node = self.fleet.nodes.get(vm)
        return None if node is None or node.is_frozen else node

    @initialize(vm=_vms)
    def begin(self, vm: VmId) -> None:
        self.add_caller(vm)

    @precondition(may_add_caller)
    @rule(vm=_vms)
    def add_caller(self, vm: VmId) -> None:
        node = self.find_awake(vm)
        offer = None if node is None else node.owner.offer_grant('127.0.0.1:1')
        if offer is not None:
            key = f'key-{len(self.made)}'
            self.made.append(Caller(key, vm, offer.token))

    @rule(number=_callers, body=_bodies)
    def send_to_owner(self, number: int, body: bytes) -> None:
        caller = self.made[number % len(self.made)]
        self.send(caller, caller.owner, Cut.none, body)

    @rule(number=_callers, vm=_vms, cut=_cuts)
    def send_elsewhere(self, number: int, vm: VmId, cut: Cut) -> None:
        self.send(self.made[number % len(self.made)], vm, cut, b'{}')

    def send(self, caller: Caller, vm: VmId, cut: Cut, body: bytes) -> None:
        node = self.find_awake(vm)
        if node is None:
            return
        self.fleet.cut = cut
        owned = build_owned(caller.token, caller.key, body)
        attempt = self.loop.create_task(node.calls.run(owned, RULES))
        attempt.set_name(vm)
        self.bodies[attempt] = body
        caller.attempts[caller.token].append(attempt)
        self.settle()
        self.fleet.cut = Cut.none

    @precondition(has_closed)
    @rule(number=_callers, vm=_vms)
    def follow_refusal(self, number: int, vm: VmId) -> None:
        """Take a fresh grant, as a caller does after a closing refusal."""
        caller = self.made[number % len(self.made)]
        node = self.find_awake(vm)
        if caller.token not in self.closed or node is None:
            return
        offer = node.owner.offer_grant('127.0.0.1:1')
        if offer is not None:
            caller.owner = vm
            caller.token = offer.token

    @rule(vm=_vms, ending=st.sampled_from(_ENDINGS))
    def end_run(self, vm: VmId, ending: CallOutcome) -> None:
        node = self.find_awake(vm)
        if node is None or not node.target.pending:
            return
        run = node.target.pending.pop(0)
        self.count_run(run.key, ending)
        if isinstance(ending, TargetAnswer):
            ending = replace(ending, body=run.body + ending.body)
        run.ended.set_result(ending)
        self.settle()

    @rule(seconds=st.sampled_from([1, 1, 20, 20, 70, 290, 400]))
    def pass_time(self, seconds: float) -> None:
        self.fleet.advance(seconds)

    @precondition(is_whole)
    @rule(vm=_vms)
    def freeze(self, vm: VmId) -> None:
        self.fleet.nodes[vm].is_frozen = True

    @precondition(is_broken)
    @rule()
    def recover(self) -> None:
        """Thaw or start what does not run."""
        for vm in map(VmId, _VMS):
            node = self.fleet.nodes.get(vm) or self.fleet.start(vm)
            node.is_frozen = False

    @precondition(is_whole)
    @rule(vm=_vms, is_spared=st.booleans())
    def die(self, vm: VmId, is_spared: bool) -> None:
        if is_spared:
            return
        target = self.fleet.nodes[vm].target
        for run in target.pending:
            self.count_run(run.key, _LOST)
        self.stop(vm)

    @precondition(is_staying)
    @rule(vm=_vms)
    def leave(self, vm: VmId) -> None:
        node = self.find_awake(vm)
        if node is not None:
            self.fleet.leaving.add(vm)
            node.owner.seal()

    @precondition(is_leaving)
    @rule(cut=_cuts)
    def hand_off(self, cut: Cut) -> None:
        """Send one part, or stop when the successor has the table."""
        vm = next(iter(self.fleet.leaving))
        node = self.find_awake(vm)
        if node is None:
            return
        if node.owner.running:
            with pytest.raises(TableError):
                node.owner.list_sealed()
            return
        handoff = self.handoffs.get(vm) or self.start_handoff(node)
        if handoff.state is HandoffState.sending:
            self.fleet.cut = cut
            self.loop.run_until_complete(self.send_part(node, handoff))
            self.fleet.cut = Cut.none
        else:
            self.stop(vm)

    def start_handoff(self, node: FakeNode) -> Handoff:
        sealed = node.owner.list_sealed()[0]
        ranked = rank_successors(sealed.owner_id, self.fleet)
        handoff = Handoff(sealed, ranked, part_bytes=1)
        self.handoffs[sealed.owner_id.vm] = handoff
        return handoff

    async def send_part(self, node: FakeNode, handoff: Handoff) -> None:
        peers = FakePeers(self.fleet, handoff.owner_id.vm)
        part = handoff.build_part(node.clock.now())
        try:
            answer = await peers.call(handoff.successor, TAKE_TABLE, part, 1)
        except PeerError:
            handoff.accept_failure()
        else:
            handoff.accept_answer(answer)

    def stop(self, vm: VmId) -> None:
        self.handoffs.pop(vm, None)
        for attempt in self.list_attempts():
            if attempt.get_name() == vm:
                attempt.cancel()
        self.fleet.kill(vm)
        self.settle()

    def list_attempts(self) -> list['asyncio.Task[CallOutcome]']:
        return [one for caller in self.made for one in caller.list_attempts()]

    def count_run(self, key: str, ending: CallOutcome) -> None:
        if ending is not _NOT_ACCEPTED:
            self.ran[key] += 1

    @invariant()
    def runs_once_at_most(self) -> None:
        for key, runs in self.ran.items():
            assert runs <= 1, key

    @invariant()
    def table_is_bounded(self) -> None:
        for node in self.fleet.nodes.values():
            assert len(node.owner._table) <= _MAX_RECORDS

    @invariant()
    def outcomes_are_true(self) -> None:
        for caller in self.made:
            for token, attempts in caller.attempts.items():
                self.check_outcomes(caller, token, attempts)
            self.check_refusals(caller)

    def check_outcomes(
        self,
        caller: Caller,
        token: str,
        attempts: list['asyncio.Task[CallOutcome]'],
    ) -> None:
        for attempt in attempts:
            if attempt.done() and not attempt.cancelled():
                self.check_outcome(caller, token, attempt)

    def check_outcome(
        self,
        caller: Caller,
        token: str,
        attempt: 'asyncio.Task[CallOutcome]',
    ) -> None:
        match attempt.result():
            case TargetAnswer(body=body):
                assert body.startswith(self.bodies[attempt])
                assert self.ran[caller.key] == 1
                assert self.answers.setdefault(token, body) == body
            case NoAnswer(verdict, is_final=True):
                self.closed.add(token)
                assert verdict.run is RunState.not_run
                assert token not in self.answers

    def check_refusals(self, caller: Caller) -> None:
        """A request of which every attempt was refused did not run."""
        attempts = caller.list_attempts()
        is_refused = all(self.is_refused(attempt) for attempt in attempts)
        is_closed = len(caller.attempts) == 1 and caller.token in self.closed
        if is_refused or is_closed:
            assert not self.has_run(caller)

    def is_refused(self, attempt: 'asyncio.Task[CallOutcome]') -> bool:
        if not attempt.done() or attempt.cancelled():
            return False
        match attempt.result():
            case NoAnswer(verdict):
                return verdict.run is RunState.not_run
            case _:
                return False

    def has_run(self, caller: Caller) -> bool:
        return self.ran[caller.key] > 0 or any(
            run.key == caller.key
            for node in self.fleet.nodes.values()
            for run in node.target.pending
        )


OwnerMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=120,
    stateful_step_count=50,
    deadline=None,
)
TestOwner = OwnerMachine.TestCase
