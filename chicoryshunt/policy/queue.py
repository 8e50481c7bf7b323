"""Orders the requests that wait for a target.

Teams share capacity by start-time fair queueing on expected work. Within a
team, requests with less expected work go first, and time spent waiting
compensates for more work.
"""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field

from chicoryshunt.policy.survival import RequestKind, SizeClass
from chicoryshunt.types import RequestId, TeamId

_SECONDS_PER_WORK = 0.002
_MAX_WORK_SECONDS = 5
_SECONDS_PER_PRIORITY = 1
_MAX_PRIORITY = 5
_MAX_IDLE_TEAMS = 1024
_PROMPT_EDGES = (128, 256, 512, 1024, 2048)
_SHORT_RANK = len(_PROMPT_EDGES) + 1


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """A request as seen by the queue; lengths are in tokens."""

    request: RequestId
    kind: RequestKind
    prompt_tokens: int
    max_tokens: int
    priority: int = 0
    weight: float = 1
    prefix: str = ''


def compute_engine_priority(spec: RequestSpec) -> int:
    """Return the priority of a request for the engine.

    An engine that runs out of memory preempts the request with the lowest
    priority. Preempting one large prompt frees more memory than preempting
    several small ones, and it is readmitted only when all of it fits.
    """
    if spec.kind.size is SizeClass.short:
        size_rank = _SHORT_RANK
    else:
        size_rank = sum(spec.prompt_tokens < edge for edge in _PROMPT_EDGES)
    priority = min(max(spec.priority, -_MAX_PRIORITY), _MAX_PRIORITY)
    return priority * (_SHORT_RANK + 1) + size_rank


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A queued request; ``work`` is its expected work in tokens."""

    spec: RequestSpec
    arrived: float
    work: float

    @property
    def team(self) -> TeamId:
        """Return the team of the request."""
        return self.spec.kind.team

    @property
    def cost(self) -> float:
        """Return the virtual time that its team is charged for it."""
        return self.work / self.spec.weight

    @property
    def rank(self) -> float:
        """Return its sort key within its team, in seconds."""
        delay = min(self.work * _SECONDS_PER_WORK, _MAX_WORK_SECONDS)
        priority = min(max(self.spec.priority, -_MAX_PRIORITY), _MAX_PRIORITY)
        return self.arrived + delay - priority * _SECONDS_PER_PRIORITY


@dataclass(order=True, slots=True)
class _Entry:
    rank: float
    number: int
    waiting: QueuedRequest = field(compare=False)


@dataclass(slots=True)
class _Backlog:
    """Queued requests of one team, and its start tag in virtual time."""

    start: float
    work: float = 0
    entries: list[_Entry] = field(default_factory=list)

    @property
    def head(self) -> QueuedRequest:
        return self.entries[0].waiting

    def compute_finish_tag(self) -> float:
        return self.start + self.head.cost

    def push(self, entry: _Entry) -> None:
        heapq.heappush(self.entries, entry)
        self.work += entry.waiting.work

    def pop(self) -> QueuedRequest:
        waiting = heapq.heappop(self.entries).waiting
        self.work -= waiting.work
        return waiting

    def drop(self, entries: list[_Entry]) -> None:
        for entry in entries:
            self.entries.remove(entry)
            self.work -= entry.waiting.work
        heapq.heapify(self.entries)


class FairQueue:
    """Queue that orders requests fairly between teams."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._virtual_time: float = 0
        self._teams: dict[TeamId, _Backlog] = {}
        self._idle_teams: dict[TeamId, float] = {}
        self._push_count = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return sum(len(team.entries) for team in self._teams.values())

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over the queued requests in arbitrary order."""
        for backlog in self._teams.values():
            for entry in backlog.entries:
                yield entry.waiting

    def push(self, waiting: QueuedRequest) -> None:
        """Add a request."""
        backlog = self._teams.get(waiting.team)
        if backlog is None:
            backlog = _Backlog(self._get_start_tag(waiting.team))
            self._teams[waiting.team] = backlog
            self._idle_teams.pop(waiting.team, None)
        self._push_count += 1
        backlog.push(_Entry(waiting.rank, self._push_count, waiting))

    def peek(self) -> QueuedRequest | None:
        """Return the request to serve next."""
        backlogs = self._teams.values()
        first = min(backlogs, key=_Backlog.compute_finish_tag, default=None)
        return None if first is None else first.head

    def list_heads(self) -> list[QueuedRequest]:
        """Return the first request of each team, in order of service."""
        backlogs = sorted(self._teams.values(), key=_Backlog.compute_finish_tag)
        return [backlog.head for backlog in backlogs]

    def pop(self) -> QueuedRequest | None:
        """Remove and return the request to serve next; charge its team."""
        head = self.peek()
        if head is not None:
            self.take(head)
        return head

    def take(self, head: QueuedRequest) -> None:
        """Remove the first request of a team and charge the team."""
        backlog = self._teams[head.team]
        backlog.pop()
        self._virtual_time = max(self._virtual_time, backlog.start)
        backlog.start += head.cost
        self._retire_if_empty(head.team)

    def restore(self, waiting: QueuedRequest) -> None:
        """Put a removed request back and refund its team."""
        self.push(waiting)
        self._teams[waiting.team].start -= waiting.cost

    def expire(self, arrived_before: float) -> list[QueuedRequest]:
        """Remove and return all requests that arrived before a time."""
        expired = [one for one in self if one.arrived < arrived_before]
        for waiting in expired:
            self.remove(waiting)
        return expired

    def remove(self, waiting: QueuedRequest) -> bool:
        """Remove a request; return whether it was queued."""
        backlog = self._teams.get(waiting.team)
        if backlog is None:
            return False
        found = [one for one in backlog.entries if one.waiting is waiting]
        backlog.drop(found)
        self._retire_if_empty(waiting.team)
        return bool(found)

    def compute_work_ahead(self, waiting: QueuedRequest) -> float:
        """Return the work that would be served before a new request."""
        own = self._teams.get(waiting.team)
        entries = [] if own is None else own.entries
        before = sum(
            entry.waiting.work
            for entry in entries
            if entry.rank <= waiting.rank
        )
        start = self._get_start_tag(waiting.team) if own is None else own.start
        finish = start + before / waiting.spec.weight + waiting.cost
        others = sum(
            min(
                backlog.work,
                (finish - backlog.start) * backlog.head.spec.weight,
            )
            for backlog in self._teams.values()
            if backlog is not own and backlog.start < finish
        )
        return before + others

    def _get_start_tag(self, team: TeamId) -> float:
        return max(self._virtual_time, self._idle_teams.get(team, 0))

    def _retire_if_empty(self, team: TeamId) -> None:
        backlog = self._teams[team]
        if backlog.entries:
            return
        self._teams.pop(team)
        self._idle_teams[team] = backlog.start
        if len(self._idle_teams) > _MAX_IDLE_TEAMS:
            self._prune_idle()

    def _prune_idle(self) -> None:
        virtual_time = self._virtual_time
        behind = {
            team: start
            for team, start in self._idle_teams.items()
            if start > virtual_time
        }
        latest = sorted(behind, key=lambda team: behind[team])
        kept = latest[-_MAX_IDLE_TEAMS // 2 :]
        self._idle_teams = {team: behind[team] for team in kept}
