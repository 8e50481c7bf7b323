"""Decides in which order the requests that wait in the fleet are served.

Load pattern: a burst fills all engines, and requests wait at many nodes. When
room becomes free, the node that looks first would take it, even for a request
that has just arrived while an older one waits at another node.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import NewType

import xxhash

from chicoryshunt.policy.shares import TeamShares
from chicoryshunt.types import RequestId, ServiceId, TeamId

# Hashes of 32 bits, as nodes exchange them; 0 stands for no team.
TeamHash = NewType('TeamHash', int)
ServiceHash = NewType('ServiceHash', int)

NO_TEAM = TeamHash(0)
# A request yields for at most this long in total, so that wrong news of other
# nodes costs little.
MAX_YIELD_SECONDS = 0.15
# Placements of this time give the rate; fewer than the minimum say too little.
_RATE_SECONDS = 5.0
_MIN_PLACEMENTS = 3
_MIN_RATE_SECONDS = 0.1
# Tolerance for sums of intervals.
_EPSILON = 1e-6

# The part of the order that does not depend on the time of arrival.
Rank = tuple[bool, int, bool, bool]
NoteKey = NewType('NoteKey', int)
OrderKey = tuple[Rank, float, RequestId]
_NO_REQUEST = RequestId('')


@dataclass(frozen=True, slots=True)
class Claim:
    """What the order of a request depends on; times in monotonic seconds.

    The target latency of the request passes at ``late_at``. From ``first_at``
    on it goes first in any case, so that it does not starve.
    """

    service: ServiceHash
    priority: int
    team: TeamHash
    arrived: float
    late_at: float
    first_at: float
    request: RequestId = _NO_REQUEST

    def build_key(self, over: Collection[TeamHash], now: float) -> OrderKey:
        """Return the sort key; teams in ``over`` exceed their share."""
        rank = (
            now < self.first_at,
            self.priority,
            now > self.late_at,
            self.team in over,
        )
        return rank, self.arrived, self.request


@dataclass(frozen=True, slots=True)
class WaitingGroup:
    """Similar requests that wait, with the claim of the oldest.

    The tokens are the sum over all ``count`` requests.
    """

    claim: Claim
    count: int
    prompt_tokens: int
    expected_tokens: int

    @property
    def tokens(self) -> int:
        """Return the memory that the requests are expected to need."""
        return self.prompt_tokens + self.expected_tokens

    def keep(self, count: int) -> 'WaitingGroup':
        """Return the group with fewer requests of the same mean size."""
        return WaitingGroup(
            self.claim,
            count,
            self.prompt_tokens * count // self.count,
            self.expected_tokens * count // self.count,
        )


@dataclass(frozen=True, slots=True)
class Preceding:
    """How many requests precede one, and their memory tokens."""

    count: int = 0
    tokens: float = 0


@dataclass(slots=True)
class YieldBudget:
    """How long one request has yielded; times are in monotonic seconds."""

    spent: float = 0
    has_begun: bool = False
    _since: float | None = None

    def take(self, now: float, pause: float) -> bool:
        """Return whether the request may yield for a pause in seconds."""
        self.stop(now)
        if self.spent + pause > MAX_YIELD_SECONDS + _EPSILON:
            return False
        self._since = now
        self.has_begun = True
        return True

    def stop(self, now: float) -> None:
        """End a pause, as the request waits for another reason."""
        if self._since is not None:
            self.spent += now - self._since
        self._since = None


@dataclass(frozen=True, slots=True)
class ReturnNote:
    """A refused request whose caller may return at a monotonic time."""

    key: NoteKey
    group: WaitingGroup
    return_at: float


class PlacementRate:
    """Rate at which memory becomes free for requests that wait."""

    def __init__(self) -> None:
        """Start without placements."""
        self._placed: dict[RequestId, tuple[float, int]] = {}

    def record(self, request: RequestId, tokens: int, now: float) -> None:
        """Record the placement of a request that waited, once for each."""
        self._drop_old(now)
        self._placed[request] = (now, tokens)

    def measure(self, now: float) -> float | None:
        """Return the memory tokens per second, ``None`` if too few are known.

        The time counts from the oldest to the newest placement: while callers
        are away, nothing is placed although room is free.
        """
        self._drop_old(now)
        if len(self._placed) < _MIN_PLACEMENTS:
            return None
        times = [at for at, _ in self._placed.values()]
        intervals = len(times) - 1
        seconds = max(max(times) - min(times), _MIN_RATE_SECONDS)
        tokens = sum(count for _, count in self._placed.values())
        return tokens / len(times) * intervals / seconds

    def _drop_old(self, now: float) -> None:
        self._placed = {
            request: placed
            for request, placed in self._placed.items()
            if now - placed[0] <= _RATE_SECONDS
        }


class ReturnTimes:
    """Spreads the times at which refused callers return to a node.

    Load pattern: a burst of refused callers would return at the same moment.
    """

    def __init__(self) -> None:
        """Start without refused callers."""
        self._last: float = 0

    def reserve(
        self, wait: float, spacing: float, longest: float, now: float
    ) -> float:
        """Return after how many seconds a caller is to return.

        Callers return in their order, ``spacing`` seconds after the one
        before, which is the time in which room for one becomes free, but
        after ``longest`` seconds at the latest.
        """
        self._last = min(max(now + wait, self._last + spacing), now + longest)
        return self._last - now


def hash_request(
    team: TeamId | None, route: str, parts: Iterable[str]
) -> NoteKey | None:
    """Return the key of a request's note, ``None`` if it names no parts."""
    prompt = tuple(parts)
    if not prompt:
        return None
    named = (team or '', route, *prompt)
    return NoteKey(xxhash.xxh3_64_intdigest('\0'.join(named).encode()))


def hash_team(team: TeamId | None) -> TeamHash:
    """Return the hash of a team, 0 for none."""
    if team is None:
        return NO_TEAM
    return TeamHash(xxhash.xxh32_intdigest(team.encode()) or 1)


def hash_service(service: ServiceId) -> ServiceHash:
    """Return the hash of a service."""
    return ServiceHash(xxhash.xxh32_intdigest(service.encode()))


def find_teams_over(
    held: Mapping[TeamHash, float],
    waiting: Iterable[TeamHash],
    capacity: int,
) -> frozenset[TeamHash]:
    """Return the teams that hold too much of a capacity in memory tokens.

    The teams that hold memory or wait share the capacity equally. Requests
    without a team have no share.
    """
    shares = TeamShares()
    teams = {*held, *waiting} - {NO_TEAM}
    for active in teams:
        shares.record_request(_name(active), 1, 0)
        shares.add(_name(active), round(held.get(active, 0)))
    return frozenset(
        team
        for team in teams
        if shares.get_share(_name(team), capacity).is_over
    )


def group_requests(
    waiting: Iterable[WaitingGroup],
    over: Collection[TeamHash],
    now: float,
    limit: int,
) -> list[WaitingGroup]:
    """Return groups of similar requests, at most ``limit``, in order."""
    groups: dict[tuple[object, ...], WaitingGroup] = {}
    for one in waiting:
        key = one.claim.build_key(over, now)
        kind = (one.claim.service, one.claim.team, key[0])
        known = groups.get(kind)
        groups[kind] = one if known is None else _merge(known, one)
    return sorted(
        groups.values(), key=lambda group: group.claim.build_key(over, now)
    )[:limit]


def sum_preceding(
    claim: Claim,
    groups: Iterable[WaitingGroup],
    over: Collection[TeamHash],
    now: float,
    room: float = math.inf,
) -> Preceding:
    """Return what precedes a request, of those that fit into ``room``.

    ``room`` is the most memory tokens that are free on one engine. The
    arrivals of a group are taken to be spread evenly since its oldest.
    """
    own = claim.build_key(over, now)
    count = 0
    tokens: float = 0
    for group in groups:
        if group.claim.service != claim.service:
            continue
        mean = group.tokens / group.count
        if mean > room:
            continue
        preceding = _count_in_group(own, claim, group, over, now)
        count += preceding
        tokens += preceding * mean
    return Preceding(count, tokens)


def should_yield(preceding: int, rooms: int) -> bool:
    """Return whether a request leaves the room to those that precede it.

    ``rooms`` is how many engines have room.
    """
    return preceding >= rooms


def _count_in_group(
    own: OrderKey,
    claim: Claim,
    group: WaitingGroup,
    over: Collection[TeamHash],
    now: float,
) -> int:
    key = group.claim.build_key(over, now)
    if key[0] != own[0]:
        return group.count if key < own else 0
    if key >= own:
        return 0
    oldest = group.claim.arrived
    earlier = (claim.arrived - oldest) / max(now - oldest, _EPSILON)
    return 1 + int((group.count - 1) * min(earlier, 1))


def _merge(one: WaitingGroup, other: WaitingGroup) -> WaitingGroup:
    return WaitingGroup(
        min(one.claim, other.claim, key=_get_arrival),
        one.count + other.count,
        one.prompt_tokens + other.prompt_tokens,
        one.expected_tokens + other.expected_tokens,
    )


def _get_arrival(claim: Claim) -> float:
    return claim.arrived


def _name(team: TeamHash) -> TeamId:
    return TeamId(f'{team:x}')
