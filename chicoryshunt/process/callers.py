"""The HTTP interface for callers and operators."""

import msgspec

from chicoryshunt.connection.client import (
    BrokenError,
    HttpClient,
    NotConnectedError,
)
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.process.config_api import ConfigApi
from chicoryshunt.process.generations import GenerationApi
from chicoryshunt.process.journal import Explanation
from chicoryshunt.process.router import Route
from chicoryshunt.process.state import NodeState
from chicoryshunt.types import (
    ModelId,
    Reason,
    RunState,
    ServiceId,
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
        self._generations = GenerationApi(state)
        self._config = ConfigApi(
            state.settings.vm,
            state.configuration,
            state.fleet.list_vms,
        )

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request."""
        match (exchange.method, *exchange.segments):
            case ('GET', 'v1', 'entries'):
                exchange.respond_json(self._state.list_entries())
            case ('POST', 'v1', 'generate', model):
                await self._generations.generate(exchange, ModelId(model))
            case ('POST', 'v1', 'resume', *action):
                await self._generations.handle_resume(exchange, action)
            case (_, 'v1', 'call', service, *path):
                await self._call(exchange, ServiceId(service), '/'.join(path))
            case (_, 'v1', 'config', *path):
                self._config.handle(exchange, path)
            case ('GET', 'v1', 'status'):
                exchange.respond_json(self._state.describe())
            case ('POST', 'v1', 'trial', 'cut') if self._state.settings.trials:
                self._cut(exchange)
            case ('GET', 'v1', 'explain', request):
                self._explain(exchange, request)
            case ('GET', 'metrics'):
                exchange.respond(
                    self._state.metrics.render(),
                    'text/plain; version=0.0.4',
                )
            case _:
                exchange.respond_verdict(
                    refuse(Reason.unknown_path, f'no path {exchange.path!r}'),
                )

    def _explain(self, exchange: Exchange, request: str) -> None:
        explanation = self._state.journal.explain(request)
        if explanation is None:
            explanation = Explanation(request, ())
        exchange.respond_json(explanation)

    def _cut(self, exchange: Exchange) -> None:
        try:
            order = msgspec.json.decode(exchange.body, type=CutOrder)
        except msgspec.DecodeError as error:
            exchange.respond_verdict(refuse(Reason.bad_request, str(error)))
            return
        self._state.fleet.links.cut(order.vms)
        exchange.respond_json(order)

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
