"""What nodes tell each other of targets, rules and placed runs."""

import msgspec

from chicoryshunt.fleet.facts import Fact
from chicoryshunt.types import ConfigVersion, RequestId, TargetId


class PlacedRun(msgspec.Struct, frozen=True, array_like=True):
    """One run on an engine; ``age`` is seconds since it was placed."""

    request: RequestId
    target: TargetId
    prompt_tokens: int
    expected_tokens: int
    max_tokens: int
    age: float


class RunNews(msgspec.Struct, frozen=True, array_like=True, tag='wn'):
    """Tell of runs that were placed or moved, and of ended ones.

    ``stranded`` ones are on a leaving engine and found no other with room.
    """

    placed: tuple[PlacedRun, ...] = ()
    ended: tuple[RequestId, ...] = ()
    stranded: tuple[RequestId, ...] = ()


class RunList(msgspec.Struct, frozen=True, array_like=True, tag='wl'):
    """Part of all runs of a node; ``round`` numbers the repeats."""

    round: int
    part: int
    parts: int
    runs: tuple[PlacedRun, ...]


class Beacon(msgspec.Struct, frozen=True, array_like=True, tag='fb'):
    """Say what a reader holds and how long ago the platform answered it.

    ``is_failing`` says that the platform does not answer it now.
    """

    digest: int
    rules_version: ConfigVersion
    age_seconds: float
    is_failing: bool = False


class FactNews(msgspec.Struct, frozen=True, array_like=True, tag='fn'):
    """Pass facts on."""

    facts: tuple[Fact, ...]


class FactRequest(msgspec.Struct, frozen=True, array_like=True, tag='fr'):
    """Ask a node for every fact that it holds."""


class RulesNotice(msgspec.Struct, frozen=True, array_like=True, tag='rn'):
    """Offer the rules of a version to a node that does not have them."""

    version: ConfigVersion
