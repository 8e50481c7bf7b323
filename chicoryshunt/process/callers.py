"""The HTTP interface for callers and operators."""

import msgspec

from chicoryshunt.connection.caller_api import encode_verdict
from chicoryshunt.connection.client import (
    HttpClient,
)
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.target_api import EndEvent
from chicoryshunt.events import log_event
from chicoryshunt.process.calls import CallApi
from chicoryshunt.process.drain import Drain
from chicoryshunt.process.ownership import refuse_draining
from chicoryshunt.process.state import NodeState
from chicoryshunt.request.generation import Generation, Outcome
from chicoryshunt.request.order import GenerationRequest, parse_generation
from chicoryshunt.types import (
    ModelId,
    Reason,
    RequestId,
    ServiceId,
    TeamId,
)
from chicoryshunt.verdict import Verdict, refuse


class CallerApi:
    """Answers callers and operators."""

    def __init__(
        self,
        state: NodeState,
        calls: CallApi,
        drain: Drain,
    ) -> None:
        """Serve with the state of the node."""
        self._state = state
        self._drain = drain
        self._calls = calls
        self._client = HttpClient()
        self._requests = 0

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request and count it while it runs."""
        with self._drain.count():
            await self._serve(exchange)

    async def _serve(self, exchange: Exchange) -> None:
        match (exchange.method, *exchange.segments):
            case ('GET', 'v1', 'entries'):
                exchange.respond_json(self._calls.list_entries())
            case ('POST', 'v1', 'generate' | 'resume', *_) if (
                not self._drain.is_serving
            ):
                self._calls.respond(exchange, refuse_draining())
            case ('POST', 'v1', 'generate', model):
                await self._generate(exchange, ModelId(model))
            case (_, 'v1', 'call', service, *path):
                await self._calls.handle(
                    exchange,
                    ServiceId(service),
                    '/'.join(path),
                )
            case ('GET', 'v1', 'status'):
                exchange.respond_json(self._state.describe())
            case ('GET', 'metrics'):
                exchange.respond(
                    self._state.metrics.render(),
                    'text/plain; version=0.0.4',
                )
            case _:
                exchange.respond_verdict(
                    refuse(Reason.unknown_path, f'no path {exchange.path!r}'),
                )

    def _name_request(self) -> RequestId:
        self._requests += 1
        return RequestId(f'{self._state.settings.vm}-{self._requests}')

    async def _generate(self, exchange: Exchange, model: ModelId) -> None:
        wanted = self._parse(exchange, model)
        if isinstance(wanted, Verdict):
            exchange.respond_verdict(wanted)
            return
        route = self._state.route(wanted.model)
        if isinstance(route, Verdict):
            exchange.respond_verdict(route)
            return
        with self._state.router.hold(route):
            outcome = await Generation(
                self._client,
                route.address,
                wanted,
                exchange,
            ).run()
        log_event(
            'generation_ended',
            request=wanted.request,
            target=route.target,
            tokens=outcome.tokens,
        )
        _end_generation(exchange, outcome)

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
        team = TeamId(exchange.get_header('x-team'))
        if team not in config.teams:
            return refuse(Reason.unknown_team, f'no team {team!r}')
        body = exchange.body
        return parse_generation(self._name_request(), team, model, body)


def _end_generation(exchange: Exchange, outcome: Outcome) -> None:
    if not exchange.is_started and outcome.verdict is not None:
        exchange.respond_verdict(outcome.verdict)
        return
    if exchange.is_gone:
        return
    if outcome.verdict is None:
        end = msgspec.json.encode(EndEvent('', outcome.tokens, 'stop'))
    else:
        end = encode_verdict(outcome.verdict)
    exchange.write(b'event: end\ndata: %s\n\n' % end)
    exchange.finish()
