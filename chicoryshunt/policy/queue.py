"""Orders the requests that wait for a target.

Teams share by start-time fair queueing on expected work. Within a team the
request with less expected work goes first, and waiting makes up for work.
"""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field

from chicoryshunt.policy.survival import RequestKind, SizeClass
from chicoryshunt.types import RequestId, TeamId

_SECONDS_PER_WORK = 0.002
_MOST_WORK_SECONDS = 5
_SECONDS_PER_PRIORITY = 1
_MOST_PRIORITY = 5
_MOST_IDLE_TEAMS = 1024
_PROMPT_EDGES = (128, 256, 512, 1024, 2048)
_SHORT_RANK = len(_PROMPT_EDGES) + 1


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """What a caller asks for; lengths are in tokens."""

    request: RequestId
    kind: RequestKind
    prompt_tokens: int
    max_tokens: int
    priority: int = 0
    weight: float = 1
    prefix: str = ''


def compute_engine_priority(ask: RequestSpec) -> int:
    """Return the priority that an engine should give to a request.

    An engine that runs out of memory preempts what has the lowest priority.
    One large prompt frees more than several small ones, and is not taken in
    again before there is room for all of it.
    """
    if ask.kind.size is SizeClass.short:
        size_rank = _SHORT_RANK
    else:
        size_rank = sum(ask.prompt_tokens < edge for edge in _PROMPT_EDGES)
    priority = min(max(ask.priority, -_MOST_PRIORITY), _MOST_PRIORITY)
    return priority * (_SHORT_RANK + 1) + size_rank


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """One request that waits; ``work`` is expected tokens to serve."""

    spec: RequestSpec
    arrived: float
    work: float

    @property
    def team(self) -> TeamId:
        """Return the team that asks."""
        return self.spec.kind.team

    @property
    def cost(self) -> float:
        """Return the virtual time that serving it takes from its team."""
        return self.work / self.spec.weight

    @property
    def rank(self) -> float:
        """Return its place within its team, in seconds."""
        late = min(self.work * _SECONDS_PER_WORK, _MOST_WORK_SECONDS)
        priority = min(max(self.spec.priority, -_MOST_PRIORITY), _MOST_PRIORITY)
        return self.arrived + late - priority * _SECONDS_PER_PRIORITY


@dataclass(order=True, slots=True)
class _Entry:
    rank: float
    number: int
    waiting: QueuedRequest = field(compare=False)


@dataclass(slots=True)
class _Backlog:
    """Requests of one team that wait, and its place in virtual time."""

    start: float
    work: float = 0
    entries: list[_Entry] = field(default_factory=list)

    @property
    def head(self) -> QueuedRequest:
        return self.entries[0].waiting

    def find_finish(self) -> float:
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
    """Requests in the order in which they should be served."""

    def __init__(self) -> None:
        """Start empty."""
        self._virtual_time: float = 0
        self._teams: dict[TeamId, _Backlog] = {}
        self._idle: dict[TeamId, float] = {}
        self._pushed = 0

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return sum(len(team.entries) for team in self._teams.values())

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Go over what waits, in no particular order."""
        for backlog in self._teams.values():
            for entry in backlog.entries:
                yield entry.waiting

    def push(self, waiting: QueuedRequest) -> None:
        """Add a request."""
        backlog = self._teams.get(waiting.team)
        if backlog is None:
            backlog = _Backlog(self._find_start(waiting.team))
            self._teams[waiting.team] = backlog
            self._idle.pop(waiting.team, None)
        self._pushed += 1
        backlog.push(_Entry(waiting.rank, self._pushed, waiting))

    def peek(self) -> QueuedRequest | None:
        """Return the request to serve next."""
        backlogs = self._teams.values()
        first = min(backlogs, key=_Backlog.find_finish, default=None)
        return None if first is None else first.head

    def list_heads(self) -> list[QueuedRequest]:
        """Return the first request of each team, in order of service."""
        backlogs = sorted(self._teams.values(), key=_Backlog.find_finish)
        return [backlog.head for backlog in backlogs]

    def pop(self) -> QueuedRequest | None:
        """Take the request to serve next and charge its team."""
        head = self.peek()
        if head is not None:
            self.take(head)
        return head

    def take(self, head: QueuedRequest) -> None:
        """Take the first request of a team and charge it."""
        backlog = self._teams[head.team]
        backlog.pop()
        self._virtual_time = max(self._virtual_time, backlog.start)
        backlog.start += head.cost
        self._settle(head.team)

    def restore(self, waiting: QueuedRequest) -> None:
        """Put back what was taken, and give its team back the charge."""
        self.push(waiting)
        self._teams[waiting.team].start -= waiting.cost

    def expire(self, arrived_before: float) -> list[QueuedRequest]:
        """Take out every request that arrived before a time."""
        late = [one for one in self if one.arrived < arrived_before]
        for waiting in late:
            self.remove(waiting)
        return late

    def remove(self, waiting: QueuedRequest) -> bool:
        """Take out a request, and say whether it was still there."""
        backlog = self._teams.get(waiting.team)
        if backlog is None:
            return False
        found = [one for one in backlog.entries if one.waiting is waiting]
        backlog.drop(found)
        self._settle(waiting.team)
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
        start = self._find_start(waiting.team) if own is None else own.start
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

    def _find_start(self, team: TeamId) -> float:
        return max(self._virtual_time, self._idle.get(team, 0))

    def _settle(self, team: TeamId) -> None:
        backlog = self._teams[team]
        if backlog.entries:
            return
        self._teams.pop(team)
        self._idle[team] = backlog.start
        if len(self._idle) > _MOST_IDLE_TEAMS:
            self._forget_idle()

    def _forget_idle(self) -> None:
        passed = self._virtual_time
        behind = {
            team: start for team, start in self._idle.items() if start > passed
        }
        latest = sorted(behind, key=lambda team: behind[team])
        kept = latest[-_MOST_IDLE_TEAMS // 2 :]
        self._idle = {team: behind[team] for team in kept}
