"""A planned stop: nothing new begins, and nothing that runs is cut."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum

from chicoryshunt.clock import Clock
from chicoryshunt.events import log_event, log_problem
from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.membership.members import Members
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.peers import Method, PeerCaller, PeerError
from chicoryshunt.ownership.handoff import Handoff, HandoffState, SealedRecords
from chicoryshunt.ownership.held_tables import PartAnswer, TablePart
from chicoryshunt.ownership.owner import Owner
from chicoryshunt.ownership.succession import rank_successors

TAKE_TABLE = Method('take_table', TablePart, PartAnswer)

PART_SECONDS = 5.0
RETRY_SECONDS = 0.5


class DrainState(Enum):
    """How far a planned stop is."""

    serving = 'serving'
    draining = 'draining'
    handing_off = 'handing_off'
    done = 'done'


class Drain:
    """Counts the requests that run, and says when none does."""

    def __init__(self) -> None:
        """Start while the node serves."""
        self.state = DrainState.serving
        self.running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def is_serving(self) -> bool:
        """Say whether new work is taken."""
        return self.state is DrainState.serving

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one request while it runs."""
        self.running += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.running -= 1
            if not self.running:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait, without a limit, until no request runs."""
        await self._idle.wait()


class GracefulShutdown:
    """Takes a node out of service."""

    def __init__(
        self,
        drain: Drain,
        owner: Owner,
        announce: Callable[[], None],
        transfer: 'Transfer',
        metrics: Metrics,
    ) -> None:
        """Announce with the given function when it begins."""
        self._drain = drain
        self._owner = owner
        self._announce = announce
        self._transfer = transfer
        self._metrics = metrics
        self._invariants = InvariantChecker(metrics)
        self._begun = asyncio.Event()
        self._leaving: asyncio.Task[None] | None = None

    @property
    def is_started(self) -> bool:
        """Say whether the node was told to leave."""
        return self._leaving is not None

    def start(self, cause: str) -> None:
        """Begin to leave; a second call changes nothing."""
        if self._leaving is None:
            self._leaving = asyncio.ensure_future(self._leave(cause))
            self._begun.set()
        else:
            log_event('drain_continues', cause=cause)

    async def wait(self) -> None:
        """Wait until the node was told to leave and nothing is left."""
        await self._begun.wait()
        assert self._leaving is not None
        await self._leaving

    @property
    def _is_busy(self) -> bool:
        return bool(self._drain.running or self._owner.running)

    async def _leave(self, cause: str) -> None:
        self._enter(DrainState.draining, cause)
        self._owner.seal()
        self._announce()
        await self._wait_idle()
        self._enter(DrainState.handing_off, cause)
        self._owner.held_tables.is_closed = True
        for sealed in self._owner.list_sealed():
            await self._transfer.hand_off(sealed)
        await self._end()
        self._enter(DrainState.done, cause)

    async def _end(self) -> None:
        """Wait for what began while the tables were handed off."""
        await self._wait_idle()
        is_idle = self._invariants.check(
            Invariant.graceful_stop,
            not self._is_busy,
            running=self._drain.running,
            owned=self._owner.running,
        )
        if not is_idle:
            await self._wait_idle()

    async def _wait_idle(self) -> None:
        while self._is_busy:
            await self._drain.wait_idle()
            await self._owner.wait_idle()

    def _enter(self, state: DrainState, cause: str) -> None:
        self._drain.state = state
        log_event(
            'drain',
            state=state.value,
            cause=cause,
            running=self._drain.running,
        )
        self._metrics.count(
            'drain_steps',
            'Steps of planned stops',
            state=state.value,
        )


class Transfer:
    """Carries hand-offs to other nodes."""

    def __init__(
        self,
        peers: PeerCaller,
        members: Members,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Choose successors among the members."""
        self._peers = peers
        self._members = members
        self._clock = clock
        self._metrics = metrics

    async def hand_off(self, sealed: SealedRecords) -> Handoff:
        """Send a sealed table until a successor has it or none is left."""
        handoff = Handoff(
            sealed,
            rank_successors(sealed.owner_id, self._members),
        )
        while handoff.state is HandoffState.sending:
            await self._send_part(handoff)
        self._conclude(handoff, len(sealed.records))
        return handoff

    async def _send_part(self, handoff: Handoff) -> None:
        successor = handoff.successor
        part = handoff.build_part(self._clock.now())
        try:
            answer = await self._peers.call(
                successor,
                TAKE_TABLE,
                part,
                PART_SECONDS,
            )
        except PeerError as error:
            log_problem('handoff_failed', to=successor, error=str(error))
            handoff.accept_failure()
            await asyncio.sleep(RETRY_SECONDS)
            return
        handoff.accept_answer(answer)

    def _conclude(self, handoff: Handoff, records: int) -> None:
        successor = None
        if handoff.state is HandoffState.taken:
            successor = handoff.successor
        log_event(
            'handoff_ended',
            owner=handoff.owner_id.vm,
            state=handoff.state.value,
            successor=successor,
            records=records,
        )
        self._metrics.count(
            'handoffs',
            'Tables handed off, by how it ended',
            state=handoff.state.value,
        )
