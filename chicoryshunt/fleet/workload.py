"""Runs that the nodes of the fleet have placed on engines."""

import itertools
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass

import msgspec

from chicoryshunt.fleet.arrivals import Arrivals
from chicoryshunt.fleet.broadcast import Broadcast
from chicoryshunt.fleet.messages import PlacedRun, RunList, RunNews
from chicoryshunt.membership.membership import Membership
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.types import RequestId, VmId, VmState

# Every node repeats the list of its runs, as datagrams may be lost.
_REPEAT_SECONDS = 2.0
_RUNS_PER_MESSAGE = 14
# A node without runs repeats its empty list, as datagrams may be lost.
_MAX_EMPTY_ROUNDS = 3


@dataclass(frozen=True, slots=True)
class KnownRun:
    """A run, the node that placed it and the monotonic time of placing."""

    run: PlacedRun
    node: VmId
    placed: float


class Workload:
    """Core that tracks the runs of all nodes; only its own are exact."""

    message_types = (RunNews, RunList)

    def __init__(
        self,
        membership: Membership,
        broadcast: Broadcast,
        now: float,
    ) -> None:
        """Start without runs; drop those of nodes that are gone."""
        self._membership = membership
        self._broadcast = broadcast
        self._runs: dict[RequestId, KnownRun] = {}
        self._requests: dict[VmId, set[RequestId]] = {}
        self._stranded: set[RequestId] = set()
        self._list_parts: dict[VmId, dict[int, RunList]] = {}
        self._round = 0
        self._empty_rounds = 0
        self._next_repeat = now + _REPEAT_SECONDS
        self._subscribers: list[Callable[[], None]] = []
        self._placed_subscribers: list[Callable[[KnownRun], None]] = []
        self.arrivals = Arrivals()
        membership.subscribe(self._handle_vm_state)

    def subscribe(self, notify: Callable[[], None]) -> None:
        """Call ``notify()`` after runs were placed, moved or ended."""
        self._subscribers.append(notify)

    def on_placed(self, notify: Callable[[KnownRun], None]) -> None:
        """Call ``notify(known)`` for each run that becomes known."""
        self._placed_subscribers.append(notify)

    def list_runs(self) -> Iterator[KnownRun]:
        """Iterate over the runs of all nodes."""
        return iter(self._runs.values())

    def is_stranded(self, request: RequestId) -> bool:
        """Return whether no other engine has room for a run that must move."""
        return request in self._stranded

    def place(self, run: PlacedRun, now: float) -> Iterator[Send]:
        """Add or move a run of this node; return the messages to send."""
        self._add(self._membership.own, run, now)
        self._stranded.discard(run.request)
        self._notify()
        return self._broadcast.send_to_all(RunNews(placed=(run,)))

    def end(self, request: RequestId) -> Iterator[Send]:
        """Remove a run of this node; return the messages to send."""
        if not self._remove(request):
            return iter(())
        self._notify()
        return self._broadcast.send_to_all(RunNews(ended=(request,)))

    def mark_stranded(self, request: RequestId) -> Iterator[Send]:
        """Mark a run that no other engine has room for; return messages."""
        self._stranded.add(request)
        self._notify()
        return self._broadcast.send_to_all(RunNews(stranded=(request,)))

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterator[Send]:
        """Apply the runs that another node announced."""
        match message:
            case RunNews(placed, ended, stranded):
                for run in placed:
                    self._add(sender, run, now)
                    self._stranded.discard(run.request)
                for request in ended:
                    self._remove(request)
                self._stranded.update(stranded)
            case RunList():
                self._add_list(sender, message, now)
        self._notify()
        return iter(())

    def tick(self, now: float) -> Iterator[Send]:
        """Send the list of this node's runs when that is due."""
        if now < self._next_repeat:
            return
        self._next_repeat = now + self._broadcast.scale_interval(
            _REPEAT_SECONDS
        )
        self._stranded.intersection_update(self._runs)
        own = self._membership.own
        runs = [
            msgspec.structs.replace(known.run, age=now - known.placed)
            for known in self._runs.values()
            if known.node == own
        ]
        self._empty_rounds = 0 if runs else self._empty_rounds + 1
        if self._empty_rounds > _MAX_EMPTY_ROUNDS:
            return
        self._round += 1
        for message in _split(self._round, runs):
            yield from self._broadcast.send_to_all(message)

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Drop the runs of other nodes, which may have changed since."""
        for node in tuple(self._requests):
            if node != self._membership.own:
                self._drop_runs(node)

    def _add(self, sender: VmId, run: PlacedRun, now: float) -> None:
        known = self._runs.get(run.request)
        if known is None or known.run.target != run.target:
            self.arrivals.record(run.target, run.request, now)
        if known is not None and known.node != sender:
            self._remove(run.request)
        self._runs[run.request] = KnownRun(run, sender, now - run.age)
        self._requests.setdefault(sender, set()).add(run.request)
        if known is None:
            for notify in self._placed_subscribers:
                notify(self._runs[run.request])

    def _remove(self, request: RequestId) -> bool:
        """Remove a run; return whether it was known."""
        known = self._runs.pop(request, None)
        if known is None:
            return False
        requests = self._requests[known.node]
        requests.discard(request)
        if not requests:
            self._requests.pop(known.node)
        return True

    def _add_list(self, sender: VmId, message: RunList, now: float) -> None:
        parts = self._list_parts.get(sender, {})
        if any(one.round != message.round for one in parts.values()):
            parts = {}
        parts[message.part] = message
        self._list_parts[sender] = parts
        if len(parts) < message.parts:
            return
        self._list_parts.pop(sender)
        runs = {
            run.request: run
            for run in itertools.chain.from_iterable(
                one.runs for one in parts.values()
            )
        }
        self._drop_runs(sender, runs)
        for run in runs.values():
            self._add(sender, run, now)

    def _notify(self) -> None:
        for notify in self._subscribers:
            notify()

    def _drop_runs(self, node: VmId, kept: Collection[RequestId] = ()) -> None:
        for request in self._requests.get(node, set()).difference(kept):
            self._remove(request)

    def _handle_vm_state(self, vm: VmId, state: VmState) -> None:
        if state is VmState.gone:
            self._drop_runs(vm)
            self._list_parts.pop(vm, None)


def _split(number: int, runs: list[PlacedRun]) -> Iterator[RunList]:
    starts = range(0, max(len(runs), 1), _RUNS_PER_MESSAGE)
    for part, start in enumerate(starts):
        chunk = tuple(runs[start : start + _RUNS_PER_MESSAGE])
        yield RunList(number, part, len(starts), chunk)
