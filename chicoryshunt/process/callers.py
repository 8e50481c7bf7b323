"""The HTTP interface for callers and operators."""

from chicoryshunt.connection.client import (
    BrokenError,
    HttpClient,
    NotConnectedError,
)
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.process.generations import GenerationApi
from chicoryshunt.process.router import Route
from chicoryshunt.process.state import NodeState
from chicoryshunt.types import (
    ModelId,
    Reason,
    RunState,
    ServiceId,
)
from chicoryshunt.verdict import Verdict, doubt, refuse


class CallerApi:
    """Answers callers and operators."""

    def __init__(self, state: NodeState) -> None:
        """Serve with the state of the node."""
        self._state = state
        self._client = HttpClient()
        self._generations = GenerationApi(state)

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
