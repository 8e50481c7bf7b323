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
_LOST_SECONDS = 5.0
_SILENT_SECONDS = 1.0
_UNDECLARED_TOKENS = 2_147_483_647
_US_PER_SECOND = 1_000_000


class PreemptionCounts:
    """What targets have counted since they started."""

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
    """Rooms of targets, by the configuration, leases and losses.

    Times are seconds of the node's clock.
    """

    def __init__(
        self,
        vm: VmId,
        data_centre: DataCentreId,
        allowances: SlotAllocator,
    ) -> None:
        """Start without a configuration."""
        self._vm = vm
        self._data_centre = data_centre
        self._allowances = allowances
        self._config: Config | None = None
        self._lost_until: dict[TargetId, float] = {}
        self._preemptions = PreemptionCounts()

    def apply(self, config: Config) -> dict[ModelId, list[TargetId]]:
        """Follow the configuration; return the targets to use by model."""
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
        """Say whether a target stands in the node's own data centre."""
        target = self._find_target(name)
        return target is not None and target.data_centre == self._data_centre

    def find_address(self, name: TargetId) -> str:
        """Return where a target listens, empty when it is unknown."""
        target = self._find_target(name)
        return '' if target is None else target.address

    def record_target_loss(self, name: TargetId, now: float) -> None:
        """Close a target for a while, for it was lost."""
        self._close(name, now + _LOST_SECONDS)

    def record_late_first_token(self, name: TargetId, now: float) -> None:
        """Close a target for a moment, for it owes a first token."""
        self._close(name, now + _SILENT_SECONDS)

    def find(self, name: TargetId, now: float) -> Quota:
        """Return what may be sent to a target now."""
        target = self._find_target(name)
        if target is None or self._config is None:
            return Closed('unknown')
        if not is_serving(self._config, target):
            return Closed('out')
        if self._lost_until.get(name, 0) > now:
            return Closed('lost')
        return Leased(
            self._allowances.find_headroom(name, now),
            Limit(
                target.concurrent,
                target.memory_tokens or _UNDECLARED_TOKENS,
            ),
        )

    def update_dispatcher(self, dispatcher: Dispatcher, now: float) -> None:
        """Tell a dispatcher every room and ask for what it needs."""
        names = tuple(dispatcher.trackers)
        demand = dispatcher.compute_demand()
        slots = _divide(demand.requests, len(names))
        memory_tokens = max(
            _divide(demand.memory_tokens, len(names)),
            demand.largest_tokens,
        )
        for name in names:
            self._allowances.request_slots(name, slots, memory_tokens, now)
            dispatcher.set_quota(name, self.find(name, now))

    def exchange_loads(self, dispatcher: Dispatcher, now: float) -> None:
        """Take what keepers heard of loads; tell them what will be held."""
        for name, book in dispatcher.trackers.items():
            curve = encode_curve(book.predict(now))
            self._allowances.report_curve(name, curve)
            load = self._allowances.find_load(name)
            if load is None:
                continue
            book.step_seconds = Seconds(load.step_us / _US_PER_SECOND)
            book.waiting = load.waiting
            added = self._preemptions.add(name, load)
            if added:
                dispatcher.margin.record_preemptions(added)

    def _close(self, name: TargetId, until: float) -> None:
        self._lost_until[name] = max(self._lost_until.get(name, 0), until)

    def _find_target(self, name: TargetId) -> Target | None:
        return None if self._config is None else self._config.targets.get(name)

    def _choose(
        self,
        config: Config,
        names: Iterable[TargetId],
    ) -> list[TargetId]:
        def rank(name: TargetId) -> tuple[bool, int]:
            is_far = config.targets[name].data_centre != self._data_centre
            return is_far, compute_weight(name, self._vm)

        return sorted(names, key=rank)[:MAX_TARGETS]


def _divide(work: int, parts: int) -> int:
    return -(-work // max(1, parts))
