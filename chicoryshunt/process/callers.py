"""The HTTP interface for callers and operators."""

import msgspec

from chicoryshunt.connection.client import (
    BrokenError,
    HttpClient,
    NotConnectedError,
)
from chicoryshunt.connection.exchange import Exchange, encode_verdict
from chicoryshunt.connection.target_api import EndEvent
from chicoryshunt.events import log_event
from chicoryshunt.process.router import Route
from chicoryshunt.process.state import NodeState
from chicoryshunt.request.generation import Generation, Outcome
from chicoryshunt.request.order import GenerationRequest, parse_generation
from chicoryshunt.types import (
    ModelId,
    Reason,
    RequestId,
    RunState,
    ServiceId,
    TeamId,
    VmId,
)
from chicoryshunt.verdict import Verdict, doubt, refuse


class CutOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Drop all traffic to and from some VMs, in trials only."""

    vms: tuple[VmId, ...]


class CallerApi:
    """Answers callers and operators."""

    def __init__(self, state: NodeState) -> None:
        """Serve with the state of the node."""
        self._state = state
        self._client = HttpClient()
        self._requests = 0

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request."""
        match (exchange.method, *exchange.segments):
            case ('GET', 'v1', 'entries'):
                exchange.respond_json(self._state.list_entries())
            case ('POST', 'v1', 'generate', model):
                await self._generate(exchange, ModelId(model))
            case (_, 'v1', 'call', service, *path):
                await self._call(exchange, ServiceId(service), '/'.join(path))
            case ('GET', 'v1', 'status'):
                exchange.respond_json(self._state.describe())
            case ('POST', 'v1', 'trial', 'cut') if self._state.settings.trials:
                self._cut(exchange)
            case ('GET', 'metrics'):
                exchange.respond(
                    self._state.metrics.render(),
                    'text/plain; version=0.0.4',
                )
            case _:
                exchange.respond_verdict(
                    refuse(Reason.unknown_path, f'no path {exchange.path!r}'),
                )

    def _cut(self, exchange: Exchange) -> None:
        try:
            order = msgspec.json.decode(exchange.body, type=CutOrder)
        except msgspec.DecodeError as error:
            exchange.respond_verdict(refuse(Reason.bad_request, str(error)))
            return
        self._state.fleet.links.cut(order.vms)
        exchange.respond_json(order)

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

    async def _call(
        self,
        exchange: Exchange,
        service: ServiceId,
        path: str,
    ) -> None:
        route = self._state.route(service)
        if isinstance(route, Verdict):
            exchange.respond_verdict(route)
            return
        with self._state.router.hold(route):
            verdict = await self._relay(exchange, route, path)
        if verdict is not None:
            exchange.respond_verdict(verdict)

    async def _relay(
        self,
        exchange: Exchange,
        route: Route,
        path: str,
    ) -> Verdict | None:
        try:
            status, body = await self._client.read(
                exchange.method,
                f'http://{route.address}/{path}',
                exchange.body,
                {'idempotency-key': exchange.get_header('idempotency-key')},
            )
        except NotConnectedError as error:
            return refuse(Reason.target_unreachable, str(error))
        except BrokenError as error:
            return doubt(Reason.target_unreachable, str(error))
        exchange.set_verdict(RunState.ran)
        exchange.respond(body, status=status)
        return None


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
