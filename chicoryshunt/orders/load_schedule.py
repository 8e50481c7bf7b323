"""Schedule of weight loads over the fleet, without messages."""

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
    """Return the time in seconds at which each changed target may load.

    Every node puts the same targets in the same order, so that the loads of a
    change start at the rate that the weight store allows.
    """
    interval = _SECONDS_PER_MINUTE / config.weights.loads_per_minute
    loading = [target for target in changed if _needs_weights(config, target)]
    in_order = sorted(loading, key=lambda target: _get_sort_key(config, target))
    return {
        target: now + index * interval for index, target in enumerate(in_order)
    }


def _needs_weights(config: Config, target: TargetId) -> bool:
    desired = config.targets[target].desired
    return bool(desired.model_version or desired.adapters)


def _get_sort_key(
    config: Config, target: TargetId
) -> tuple[ConfigVersion, int]:
    version = config.desired_since.get(target, ConfigVersion(0))
    return version, xxhash.xxh3_64_intdigest(f'{version}/{target}'.encode())
