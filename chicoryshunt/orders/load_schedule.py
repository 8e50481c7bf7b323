"""Staggers weight loads over the fleet without messages between nodes."""

from collections.abc import Iterable

import xxhash

from chicoryshunt.types import ConfigVersion, TargetId
from chicoryshunt.version.config import Config

_SECONDS_PER_MINUTE = 60


def schedule_loads(
    config: Config,
    changed: Iterable[TargetId],
    now: float,
) -> dict[TargetId, float]:
    """Return when each changed target may load, in seconds.

    Every node orders the same targets the same way, so that the loads of a
    change follow each other at the rate of the weight store.
    """
    interval = _SECONDS_PER_MINUTE / config.weights.loads_per_minute
    loading = [target for target in changed if _needs_weights(config, target)]
    ordered = sorted(loading, key=lambda target: _rank(config, target))
    return {
        target: now + index * interval for index, target in enumerate(ordered)
    }


def _needs_weights(config: Config, target: TargetId) -> bool:
    desired = config.targets[target].desired
    return bool(desired.model_version or desired.adapters)


def _rank(config: Config, target: TargetId) -> tuple[ConfigVersion, int]:
    version = config.desired_since.get(target, ConfigVersion(0))
    return version, xxhash.xxh3_64_intdigest(f'{version}/{target}'.encode())
