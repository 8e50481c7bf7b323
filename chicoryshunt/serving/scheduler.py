"""Admits generations: queues them, assigns targets, refuses."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from chicoryshunt.clock import Clock
from chicoryshunt.journal import Journal
from chicoryshunt.limits.headroom import TypicalRequest
from chicoryshunt.limits.quotas import TargetQuotas
from chicoryshunt.limits.router import Route
from chicoryshunt.policy.dispatcher import Dispatch, Dispatcher, StopReason
from chicoryshunt.policy.overload import WaitAccepted, WaitTooLong
from chicoryshunt.policy.profile import PolicyParameters, get_policy_parameters
from chicoryshunt.policy.queue import RequestSpec
from chicoryshunt.policy.slots import Shortage, Slot, SlotAllocator
from chicoryshunt.policy.survival import (
    LengthEstimator,
    RequestKind,
    classify,
)
from chicoryshunt.policy.tracker import Closed
from chicoryshunt.request.order import GenerationRequest
from chicoryshunt.types import (
    ModelId,
    Reason,
    RequestId,
    Seconds,
    TargetId,
    Tokens,
)
from chicoryshunt.verdict import Verdict, refuse
from chicoryshunt.version.config import Config, Model, Team

TICK_SECONDS = 0.05
_LOAD_EXCHANGE_SECONDS = 0.4
_TAKEOVER_SECONDS = 5.0
_NO_STALL = Seconds(0)
_RETRY_SECONDS = Seconds(1)


@dataclass(slots=True)
class Permit:
    """Permission to run one request on a target.

    The code that relays the generation sets ``read_position``, which returns
    the number of tokens produced so far, and ``stop``, the reason it ended.
    ``is_taken_over`` says that another node now relays the generation.
    """

    request: RequestId
    model: ModelId
    route: Route
    slot: Slot
    engine_priority: int = 0
    expected_stall: Seconds = _NO_STALL
    read_position: Callable[[], int] = field(default=int)
    stop: StopReason = StopReason.cancelled
    is_taken_over: bool = False


class Scheduler:
    """Queues the generations of every model and assigns targets."""

    def __init__(
        self,
        quotas: TargetQuotas,
        allocator: SlotAllocator,
        clock: Clock,
        journal: Journal,
    ) -> None:
        """Start without models; ``apply_config`` adds them."""
        self._quotas = quotas
        self._allocator = allocator
        self._clock = clock
        self._journal = journal
        self._config: Config | None = None
        self._next_exchange_at: float = 0
        self._estimator = LengthEstimator()
        self._dispatchers: dict[ModelId, Dispatcher] = {}
        self._answers: dict[
            RequestId,
            asyncio.Future[Permit | Verdict],
        ] = {}
        self._permits: dict[RequestId, Permit] = {}
        self._taken_over: deque[tuple[float, Slot]] = deque()

    def now(self) -> float:
        """Return the time of the scheduler's clock, in seconds."""
        return self._clock.now()

    async def run(self) -> None:
        """Call ``tick`` at a fixed interval until cancelled."""
        while True:
            self.tick(self._clock.now())
            await asyncio.sleep(TICK_SECONDS)

    def apply_config(self, config: Config) -> None:
        """Update the models and their targets."""
        self._config = config
        for model, names in self._quotas.apply_config(config).items():
            dispatcher = self._get_dispatcher(config, model)
            for unused in dispatcher.trackers.keys() - set(names):
                dispatcher.set_quota(unused, Closed('unused'))
            for name in names:
                dispatcher.add_target(
                    name,
                    is_local=self._quotas.is_local(name),
                )

    @contextmanager
    def hold(self, permit: Permit) -> Iterator[None]:
        """Release the permit when the context exits."""
        try:
            yield
        finally:
            self._release(permit)

    @contextmanager
    def track_running(self, target: TargetId) -> Iterator[None]:
        """Count a request that another node started, while relayed here."""
        slot = self._allocator.register_running(target, self._clock.now())
        try:
            yield
        finally:
            self._allocator.release_slot(slot, self._clock.now())

    async def admit(
        self,
        wanted: GenerationRequest,
        wait_disconnected: Callable[[], Awaitable[None]],
    ) -> Permit | Verdict:
        """Wait for a target with capacity, or refuse the request.

        ``wait_disconnected`` returns when the caller has disconnected.
        """
        config = self._config
        if config is None or wanted.model not in self._dispatchers:
            return refuse(
                Reason.no_target,
                f'no target serves {wanted.model!r}',
                _RETRY_SECONDS,
            )
        now = self._clock.now()
        refusal = self._enqueue(_build_spec(wanted, config), now)
        if refusal is not None:
            return refusal
        return await self._wait(wanted, wait_disconnected)

    def find_typical_request(self, target: TargetId) -> TypicalRequest | None:
        """Return a typical request of the model that a target serves."""
        declared = None
        if self._config is not None:
            declared = self._config.targets.get(target)
        if declared is None or declared.model is None:
            return None
        dispatcher = self._dispatchers.get(declared.model)
        if dispatcher is None:
            return None
        return TypicalRequest(dispatcher.typical, dispatcher.margin.deviations)

    def record_target_loss(self, target: TargetId) -> None:
        """Close a target for some seconds after an attempt on it failed."""
        self._quotas.record_target_loss(target, self._clock.now())

    def record_late_first_token(self, target: TargetId) -> None:
        """Close a target for a short time after a late first token."""
        self._quotas.record_late_first_token(target, self._clock.now())

    def find_parameters(self, model: ModelId) -> PolicyParameters:
        """Return the policy parameters of a model."""
        declared = (
            None if self._config is None else self._config.models.get(model)
        )
        return get_policy_parameters((declared or Model()).profile)

    def tick(self, now: float) -> None:
        """Record progress, refuse timed-out requests, dispatch queued ones."""
        for permit in self._permits.values():
            dispatcher = self._dispatchers[permit.model]
            dispatcher.record_tokens(permit.request, permit.read_position())
        self._release_taken_over(now)
        if now >= self._next_exchange_at:
            self._next_exchange_at = now + _LOAD_EXCHANGE_SECONDS
            for dispatcher in self._dispatchers.values():
                self._quotas.exchange_loads(dispatcher, now)
        for model in self._dispatchers:
            self._expire(model, now)
            self._dispatch_queued(model, now)

    def _get_dispatcher(self, config: Config, model: ModelId) -> Dispatcher:
        dispatcher = self._dispatchers.get(model)
        if dispatcher is None:
            profile = config.models[model].profile
            dispatcher = Dispatcher(
                get_policy_parameters(profile), self._estimator
            )
            self._dispatchers[model] = dispatcher
        return dispatcher

    def _enqueue(self, spec: RequestSpec, now: float) -> Verdict | None:
        verdict = self._dispatchers[spec.kind.model].enqueue(spec, now)
        match verdict:
            case WaitAccepted():
                return None
            case WaitTooLong(expected, _, retry_after):
                return self._refuse(
                    spec,
                    Reason.overloaded,
                    f'{spec.kind.model} would start in {expected:.1f} s',
                    retry_after,
                )

    def _refuse(
        self,
        spec: RequestSpec,
        reason: Reason,
        detail: str,
        retry_after: Seconds,
    ) -> Verdict:
        self._journal.record(
            spec.request,
            'request_refused',
            reason.value,
            team=spec.kind.team,
            model=spec.kind.model,
            detail=detail,
        )
        return refuse(reason, detail, retry_after)

    async def _wait(
        self,
        wanted: GenerationRequest,
        wait_disconnected: Callable[[], Awaitable[None]],
    ) -> Permit | Verdict:
        answer: asyncio.Future[Permit | Verdict] = (
            asyncio.get_running_loop().create_future()
        )
        self._answers[wanted.request] = answer
        disconnected = asyncio.ensure_future(wait_disconnected())
        self._dispatch_queued(wanted.model, self._clock.now())
        try:
            await asyncio.wait(
                (answer, disconnected),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            disconnected.cancel()
            self._answers.pop(wanted.request, None)
        if answer.done():
            return answer.result()
        answer.cancel()
        return refuse(Reason.cancelled, 'the caller left the queue')

    def _expire(self, model: ModelId, now: float) -> None:
        for waiting in self._dispatchers[model].expire(now):
            answer = self._answers.pop(waiting.spec.request, None)
            if answer is not None and not answer.done():
                refusal = self._refuse(
                    waiting.spec,
                    Reason.queue_timeout,
                    f'no target took the request in '
                    f'{now - waiting.arrived:.1f} s',
                    _RETRY_SECONDS,
                )
                answer.set_result(refusal)

    def _dispatch_queued(self, model: ModelId, now: float) -> None:
        dispatcher = self._dispatchers[model]
        if not dispatcher.queued:
            return
        self._quotas.update_dispatcher(dispatcher, now)
        dispatch = dispatcher.find_next(now)
        while dispatch is not None:
            if not self._issue_permit(model, dispatch, now):
                break
            target = dispatch.choice.target
            dispatcher.set_quota(target, self._quotas.find(target, now))
            dispatch = dispatcher.find_next(now)

    def _issue_permit(
        self, model: ModelId, dispatch: Dispatch, now: float
    ) -> bool:
        """Acquire a slot and issue the permit.

        Return ``False`` if the slot was refused, so dispatching must stop.
        """
        dispatcher = self._dispatchers[model]
        spec = dispatch.waiting.spec
        answer = self._answers.get(spec.request)
        if answer is None or answer.done():
            dispatcher.record_stop(
                spec.request, Tokens(0), StopReason.cancelled
            )
            return True
        target = dispatch.choice.target
        running = dispatcher.trackers[target].running[spec.request]
        slot = self._allocator.acquire_slot(
            target, int(running.reserved_tokens), now
        )
        if isinstance(slot, Shortage):
            dispatcher.cancel(dispatch)
            return False
        route = Route(target, self._quotas.find_address(target))
        permit = Permit(
            spec.request,
            model,
            route,
            slot,
            dispatch.engine_priority,
            dispatch.choice.stall,
        )
        self._permits[spec.request] = permit
        answer.set_result(permit)
        self._record_admission(dispatch)
        return True

    def _release_slot(self, permit: Permit, now: float) -> None:
        """Release the slot, after a delay if another node took over.

        During the delay the keeper of the target learns that the other node
        runs the request; releasing at once would leave it uncounted.
        """
        if permit.is_taken_over:
            self._taken_over.append((now + _TAKEOVER_SECONDS, permit.slot))
        else:
            self._allocator.release_slot(permit.slot, now)

    def _release_taken_over(self, now: float) -> None:
        while self._taken_over and self._taken_over[0][0] <= now:
            _, slot = self._taken_over.popleft()
            self._allocator.release_slot(slot, now)

    def _record_admission(self, dispatch: Dispatch) -> None:
        choice = dispatch.choice
        self._journal.record(
            dispatch.waiting.spec.request,
            'request_admitted',
            'least_stall',
            target=choice.target,
            waited=dispatch.waited,
            stall=choice.stall,
            queue=choice.queue,
            prefill=choice.prefill,
            overflow=choice.overflow,
            part_used=dispatch.fit.part_used,
        )

    def _release(self, permit: Permit) -> None:
        now = self._clock.now()
        self._permits.pop(permit.request, None)
        self._release_slot(permit, now)
        produced = permit.read_position()
        dispatcher = self._dispatchers[permit.model]
        dispatcher.record_tokens(permit.request, produced)
        dispatcher.record_stop(permit.request, Tokens(produced), permit.stop)
        self._dispatch_queued(permit.model, now)


def _build_spec(wanted: GenerationRequest, config: Config) -> RequestSpec:
    body = wanted.body
    return RequestSpec(
        wanted.request,
        RequestKind(wanted.team, wanted.model, classify(body.max_tokens)),
        body.prompt_tokens,
        body.max_tokens,
        body.priority,
        config.teams.get(wanted.team, Team()).weight,
        body.prefix,
    )
