"""The HTTP interface of generations: start, restart, resume."""

from collections.abc import Callable
from functools import partial

from chicoryshunt.connection.caller_api import (
    RESUME_HEADER,
    RESUME_PATH,
    TEAM_HEADER,
    Released,
)
from chicoryshunt.connection.client import (
    BrokenError,
    HttpClient,
    NotConnectedError,
)
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.events import log_event, log_problem
from chicoryshunt.invariants import InvariantChecker
from chicoryshunt.limits.router import Route
from chicoryshunt.nodes.seal import Purpose, Seal
from chicoryshunt.ownership.owned_generations import OwnedGenerations
from chicoryshunt.request.cancels import CancelRetrier
from chicoryshunt.request.generation import (
    GenerationContext,
    Outcome,
    RelayLimits,
)
from chicoryshunt.request.order import (
    GenerationRequest,
    parse_generation,
    parse_index,
)
from chicoryshunt.request.resume_token import (
    ResumeToken,
    decode_token,
    encode_token,
)
from chicoryshunt.request.sink import BufferBudget, Sink, describe_end
from chicoryshunt.request.stall import StallWatch
from chicoryshunt.request.takeovers import Takeovers
from chicoryshunt.serving.starter import (
    GenerationBuilder,
    Starter,
    name_reason,
)
from chicoryshunt.serving.state import NodeState
from chicoryshunt.settings import Settings
from chicoryshunt.types import (
    Delivery,
    Incarnation,
    ModelId,
    Reason,
    RequestId,
    TargetId,
    TeamId,
)
from chicoryshunt.verdict import Verdict, refuse
from chicoryshunt.version.config import Team

_MAX_STARTS = 3
_RELEASE_SECONDS = 1.0


class GenerationApi:
    """Serves generations to callers."""

    def __init__(self, state: NodeState, owned: OwnedGenerations) -> None:
        """Build the starter and the resume token seal from the state."""
        self._owned = owned
        invariants = InvariantChecker(state.metrics)
        settings = state.settings
        self._state = state
        self._client = HttpClient(keeps_connections=False)
        self._sign = Seal(
            settings.key,
            settings.vm,
            Incarnation(0),
            Purpose.token,
        ).sign
        self._context = _build_context(settings, invariants)
        self._builder = GenerationBuilder(
            settings.vm,
            self._context,
            self._client,
            self._sign,
        )
        self._starter = Starter(
            self._builder,
            state.scheduler,
            state.journal,
            state.guard,
            invariants,
        )
        self._buffer_budget = BufferBudget(
            settings.limits.whole_buffer_bytes,
            settings.limits.whole_buffers_bytes,
        )
        self._request_count = 0

    async def generate(self, exchange: Exchange, model: ModelId) -> None:
        """Run a new generation and send it to the caller."""
        wanted = self._parse(exchange, model)
        if isinstance(wanted, Verdict):
            exchange.respond_verdict(wanted)
            return
        run = partial(self._run_generation, exchange, wanted)
        if wanted.body.repeatable:
            await run(_finish_answer)
        else:
            await self._owned.run(
                exchange, wanted, partial(run, _finish_stream)
            )

    async def handle_resume(
        self,
        exchange: Exchange,
        action: list[str],
    ) -> None:
        """Serve the resume path and the paths below it."""
        match action:
            case []:
                await self.resume(exchange)
            case ['taken']:
                self.release(exchange)
            case _:
                exchange.respond_verdict(
                    refuse(Reason.unknown_path, f'no path {exchange.path!r}'),
                )

    async def resume(self, exchange: Exchange) -> None:
        """Continue a generation at the index that the caller asks for."""
        index = parse_index(exchange.get_query('from', '0'))
        if isinstance(index, Verdict):
            exchange.respond_verdict(index)
            return
        token = decode_token(exchange.get_header(RESUME_HEADER), self._sign)
        if isinstance(token, Verdict):
            exchange.respond_verdict(token)
            return
        route = self._find_route(token.target)
        if isinstance(route, Verdict):
            exchange.respond_verdict(route)
            return
        await self._take_over(token)
        sink = Sink(exchange)
        with self._state.scheduler.track_running(route.target):
            outcome = await self._builder.build(route, sink, token).resume(
                token.generation,
                index,
            )
        log_event(
            'resumed_generation_ended',
            request=token.request,
            tokens=outcome.tokens,
            reason=name_reason(outcome),
        )
        _finish_answer(sink, outcome)

    def release(self, exchange: Exchange) -> None:
        """Stop relaying a generation that another node resumed."""
        token = decode_token(exchange.get_header(RESUME_HEADER), self._sign)
        if isinstance(token, Verdict):
            exchange.respond_verdict(token)
            return
        is_taken_over = self._context.takeovers.take_over(token.generation)
        exchange.respond_json(Released(is_taken_over))

    async def _take_over(self, token: ResumeToken) -> None:
        """Stop the node that relays the generation without cancelling it."""
        if self._context.takeovers.take_over(token.generation):
            return
        address = self._state.find_caller_address(token.vm)
        if token.vm == self._state.settings.vm or not address:
            return
        try:
            await self._client.read(
                'POST',
                f'http://{address}{RESUME_PATH}/taken',
                headers={RESUME_HEADER: encode_token(token, self._sign)},
                answer_seconds=_RELEASE_SECONDS,
            )
        except (NotConnectedError, BrokenError) as error:
            log_problem(
                'release_failed',
                request=token.request,
                vm=token.vm,
                error=str(error),
            )

    async def _run_generation(
        self,
        exchange: Exchange,
        wanted: GenerationRequest,
        end: Callable[[Sink, Outcome], None],
    ) -> Outcome:
        sink = Sink(exchange, self._find_buffer_budget(wanted))
        attempt = await self._starter.start(
            wanted,
            sink,
            self._find_team(wanted).retry_ratio,
        )
        self._state.request_recorder.record_generation(
            wanted, sink.timings, attempt
        )
        end(sink, attempt.outcome)
        return attempt.outcome

    def _find_route(self, target: TargetId) -> Route | Verdict:
        config = self._state.config
        if config is None:
            return refuse(Reason.config_missing, 'no configuration is known')
        if target not in config.targets:
            return refuse(Reason.no_target, f'no target {target!r}')
        return Route(target, config.targets[target].address)

    def _find_buffer_budget(
        self, wanted: GenerationRequest
    ) -> BufferBudget | None:
        delivery = wanted.body.delivery or self._find_team(wanted).delivery
        return self._buffer_budget if delivery is Delivery.whole else None

    def _find_team(self, wanted: GenerationRequest) -> Team:
        config = self._state.config
        declared = None if config is None else config.teams.get(wanted.team)
        return declared or Team()

    def _parse(
        self,
        exchange: Exchange,
        model: ModelId,
    ) -> GenerationRequest | Verdict:
        config = self._state.config
        if config is None:
            return refuse(Reason.config_missing, 'no configuration is known')
        if model not in config.models:
            return refuse(Reason.unknown_model, f'no model {model!r}')
        team = TeamId(exchange.get_header(TEAM_HEADER))
        if team not in config.teams:
            return refuse(Reason.unknown_team, f'no team {team!r}')
        body = exchange.body
        return parse_generation(self._create_request_id(), team, model, body)

    def _create_request_id(self) -> RequestId:
        self._request_count += 1
        return RequestId(f'{self._state.settings.vm}-{self._request_count}')


def _build_context(
    settings: Settings, invariants: InvariantChecker
) -> GenerationContext:
    return GenerationContext(
        StallWatch(),
        Takeovers(),
        CancelRetrier(),
        RelayLimits(
            settings.limits.stream_buffer_bytes,
            settings.limits.caller_grace_seconds,
        ),
        invariants,
    )


def _finish_answer(sink: Sink, outcome: Outcome) -> None:
    if outcome.verdict is None or outcome.delivered:
        _finish_stream(sink, outcome)
    else:
        sink.respond_verdict(outcome.verdict)


def _finish_stream(sink: Sink, outcome: Outcome) -> None:
    if outcome.verdict is None or outcome.delivered:
        sink.finish(
            describe_end(outcome.tokens, outcome.ending, outcome.verdict),
        )
