"""Messages between nodes about targets, rules and placed runs."""

import msgspec

from chicoryshunt.dispatch.crash_suspects import PartKey
from chicoryshunt.fleet.facts import Fact
from chicoryshunt.types import ConfigVersion, RequestId, TargetId


class PlacedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run on an engine; ``age`` is in seconds since it was placed.

    ``team`` is a hash of 32 bits; 0 stands for no team, or an unknown one.
    ``has_waited``: no engine had room for it at first.
    """

    request: RequestId
    target: TargetId
    prompt_tokens: int
    expected_tokens: int
    max_tokens: int
    age: float
    team: int = 0
    has_waited: bool = False


class RunNews(msgspec.Struct, frozen=True, array_like=True, tag='wn'):
    """Announcement of runs that were placed, moved or ended.

    ``stranded``: runs on a leaving engine for which no other has room.
    """

    placed: tuple[PlacedRun, ...] = ()
    ended: tuple[RequestId, ...] = ()
    stranded: tuple[RequestId, ...] = ()


class RunList(msgspec.Struct, frozen=True, array_like=True, tag='wl'):
    """Part of the list of a node's runs; ``round`` numbers the lists."""

    round: int
    part: int
    parts: int
    runs: tuple[PlacedRun, ...]


class Beacon(msgspec.Struct, frozen=True, array_like=True, tag='fb'):
    """Report of a reader: its catalog, and the age of the last answer.

    ``age_seconds`` is the time since the platform answered any node, as far
    as the reader knows; ``is_failing``: it does not answer the reader now.
    """

    digest: int
    rules_version: ConfigVersion
    age_seconds: float
    is_failing: bool = False


class FactNews(msgspec.Struct, frozen=True, array_like=True, tag='fn'):
    """Facts for other nodes."""

    facts: tuple[Fact, ...]


class FactRequest(msgspec.Struct, frozen=True, array_like=True, tag='fr'):
    """Request for all facts that a node knows."""


class RulesNotice(msgspec.Struct, frozen=True, array_like=True, tag='rn'):
    """Offer of a version of the rules to another node."""

    version: ConfigVersion


class CrashNote(msgspec.Struct, frozen=True, array_like=True):
    """A crash of an engine, and the prompt parts that are suspected of it.

    ``age`` is in seconds.
    """

    target: TargetId
    age: float
    suspects: tuple[PartKey, ...]


class CrashNews(msgspec.Struct, frozen=True, array_like=True, tag='cn'):
    """Crashes of engines, and prompt parts that were proved to be harmless."""

    crashes: tuple[CrashNote, ...] = ()
    cleared: tuple[PartKey, ...] = ()


class PaceNote(msgspec.Struct, frozen=True, array_like=True):
    """Time per token and longest gap between events of an engine."""

    target: TargetId
    token_microseconds: int
    longest_gap_ms: int


class PaceNews(msgspec.Struct, frozen=True, array_like=True, tag='pn'):
    """What streams of a node observed of engines."""

    notes: tuple[PaceNote, ...]


class CrashRequest(msgspec.Struct, frozen=True, array_like=True, tag='cr'):
    """Request for the crashes that a node knows."""


class OutageNews(msgspec.Struct, frozen=True, array_like=True, tag='on'):
    """Targets that accepted no connection of a node."""

    targets: tuple[TargetId, ...]


class ClearedParts(msgspec.Struct, frozen=True, array_like=True, tag='cc'):
    """Answer to the report of a crash: suspects that are harmless."""

    parts: tuple[PartKey, ...]


class DemandGroup(msgspec.Struct, frozen=True, array_like=True):
    """Similar requests that wait at a node; tokens are their sums.

    The times are in milliseconds, for the oldest request: since it arrived,
    until its target latency passes, and until it goes first in any case.
    ``team`` and ``service`` are hashes of 32 bits.
    """

    priority: int
    team: int
    count: int
    prompt_tokens: int
    age: int
    time_left: int
    expected_tokens: int
    time_to_first: int
    service: int


class DemandNote(msgspec.Struct, frozen=True, array_like=True):
    """A refused request whose caller may return.

    The times are in milliseconds: since it arrived first, and until it may
    return. ``key`` is a hash of 64 bits of its team, route and prompt parts.
    """

    key: int
    priority: int
    team: int
    prompt_tokens: int
    age: int
    time_to_return: int
    expected_tokens: int
    service: int


class DemandNews(msgspec.Struct, frozen=True, array_like=True, tag='dn'):
    """The requests that wait at a node, most urgent first.

    ``sent`` is the time of the sender's clock in monotonic seconds.
    ``returned`` are the keys of notes whose callers are back.
    """

    sent: float
    groups: tuple[DemandGroup, ...] = ()
    notes: tuple[DemandNote, ...] = ()
    returned: tuple[int, ...] = ()
