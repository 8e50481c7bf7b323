"""Which targets this node uses, and what it may send to each."""

from collections.abc import Iterable

from chicoryshunt.limits.headroom import encode_curve
from chicoryshunt.limits.router import is_serving
from chicoryshunt.membership.rendezvous import compute_weight
from chicoryshunt.policy.admission import Limit
from chicoryshunt.policy.dispatcher import Dispatcher
from chicoryshunt.policy.slots import LoadSnapshot, SlotAllocator
from chicoryshunt.policy.tracker import Closed, Leased, Quota
from chicoryshunt.types import DataCentreId, ModelId, Seconds, TargetId, VmId
from chicoryshunt.version.config import Config, Target

MAX_TARGETS = 20
_LOSS_SECONDS = 5.0
_LATE_FIRST_TOKEN_SECONDS = 1.0
_UNDECLARED_TOKENS = 2_147_483_647
_US_PER_SECOND = 1_000_000


class PreemptionCounts:
    """Tracks the preemption counts that targets report."""

    def __init__(self) -> None:
        """Start without counts."""
        self._seen: dict[TargetId, tuple[int, int]] = {}

    def add(self, name: TargetId, load: LoadSnapshot) -> int:
        """Return the preemptions since the last report of a target."""
        start, count = self._seen.get(name, (load.start, load.preemptions))
        self._seen[name] = (load.start, load.preemptions)
        if start != load.start:
            return load.preemptions
        return max(0, load.preemptions - count)


class TargetQuotas:
    """Tracks which targets may take requests, and how many.

    Times are seconds of the node's clock.
    """

    def __init__(
        self,
        vm: VmId,
        data_centre: DataCentreId,
        allocator: SlotAllocator,
    ) -> None:
        """Start without a configuration."""
        self._vm = vm
        self._data_centre = data_centre
        self._allocator = allocator
        self._config: Config | None = None
        self._closed_until: dict[TargetId, float] = {}
        self._preemptions = PreemptionCounts()

    def apply_config(self, config: Config) -> dict[ModelId, list[TargetId]]:
        """Apply a configuration; return the targets to use by model."""
        self._config = config
        by_model: dict[ModelId, list[TargetId]] = {}
        for name, target in config.targets.items():
            if target.model is not None:
                by_model.setdefault(target.model, []).append(name)
        return {
            model: self._choose(config, names)
            for model, names in by_model.items()
        }

    def is_local(self, name: TargetId) -> bool:
        """Say whether a target is in the node's own data centre."""
        target = self._get_target(name)
        return target is not None and target.data_centre == self._data_centre

    def find_address(self, name: TargetId) -> str:
        """Return the address of a target, empty when it is unknown."""
        target = self._get_target(name)
        return '' if target is None else target.address

    def record_target_loss(self, name: TargetId, now: float) -> None:
        """Stop sending to a target for some seconds after it was lost."""
        self._close(name, now + _LOSS_SECONDS)

    def record_late_first_token(self, name: TargetId, now: float) -> None:
        """Stop sending to a target for a second: a first token is late."""
        self._close(name, now + _LATE_FIRST_TOKEN_SECONDS)

    def find(self, name: TargetId, now: float) -> Quota:
        """Return the quota of a target now."""
        target = self._get_target(name)
        if target is None or self._config is None:
            return Closed('unknown')
        if not is_serving(self._config, target):
            return Closed('out')
        if self._closed_until.get(name, 0) > now:
            return Closed('lost')
        return Leased(
            self._allocator.find_headroom(name, now),
            Limit(
                target.concurrent,
                target.memory_tokens or _UNDECLARED_TOKENS,
            ),
        )

    def update_dispatcher(self, dispatcher: Dispatcher, now: float) -> None:
        """Request the slots that a dispatcher needs; update its quotas."""
        names = tuple(dispatcher.trackers)
        demand = dispatcher.compute_demand()
        slots = _divide(demand.requests, len(names))
        memory_tokens = max(
            _divide(demand.memory_tokens, len(names)),
            demand.largest_tokens,
        )
        for name in names:
            self._allocator.request_slots(name, slots, memory_tokens, now)
            dispatcher.set_quota(name, self.find(name, now))

    def exchange_loads(self, dispatcher: Dispatcher, now: float) -> None:
        """Apply the loads that keepers read; report the memory forecast."""
        for name, tracker in dispatcher.trackers.items():
            curve = encode_curve(tracker.predict(now))
            self._allocator.report_curve(name, curve)
            load = self._allocator.find_load(name)
            if load is None:
                continue
            tracker.step_seconds = Seconds(load.step_us / _US_PER_SECOND)
            tracker.waiting = load.waiting
            added = self._preemptions.add(name, load)
            if added:
                dispatcher.margin.record_preemptions(added)

    def _close(self, name: TargetId, until: float) -> None:
        self._closed_until[name] = max(self._closed_until.get(name, 0), until)

    def _get_target(self, name: TargetId) -> Target | None:
        return None if self._config is None else self._config.targets.get(name)

    def _choose(
        self,
        config: Config,
        names: Iterable[TargetId],
    ) -> list[TargetId]:
        def sort_key(name: TargetId) -> tuple[bool, int]:
            is_remote = config.targets[name].data_centre != self._data_centre
            return is_remote, compute_weight(name, self._vm)

        return sorted(names, key=sort_key)[:MAX_TARGETS]


def _divide(work: int, parts: int) -> int:
    return -(-work // max(1, parts))
