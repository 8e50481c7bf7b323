"""The HTTP interface for callers and operators."""

import msgspec

from chicoryshunt.configuration.config_api import ConfigApi
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.journal import Explanation
from chicoryshunt.ownership.owner import refuse_draining
from chicoryshunt.serving.assembly import OwnerComponents
from chicoryshunt.serving.generations import GenerationApi
from chicoryshunt.serving.state import NodeState
from chicoryshunt.types import (
    ModelId,
    Reason,
    ServiceId,
    VmId,
)
from chicoryshunt.verdict import refuse


class PartitionRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request to drop all traffic to and from VMs, in trials only."""

    vms: tuple[VmId, ...]


class CallerApi:
    """Routes requests of callers and operators by their path."""

    def __init__(self, state: NodeState, components: OwnerComponents) -> None:
        """Serve from the state and the components of the node."""
        self._state = state
        self._owner = components.owner
        self._responder = components.responder
        self._calls = components.calls
        self._drain = components.drain
        self._generations = GenerationApi(state, components.generations)
        self._config = ConfigApi(
            state.settings.vm,
            state.configuration,
            state.fleet.list_vms,
        )

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request; the drain waits until it ends."""
        with self._drain.track():
            await self._serve(exchange)

    async def _serve(self, exchange: Exchange) -> None:
        match (exchange.method, *exchange.segments):
            case ('GET', 'v1', 'entries'):
                exchange.respond_json(self._responder.list_entries())
            case ('POST', 'v1', 'generate', _) if not self._drain.is_serving:
                self._responder.respond(exchange, refuse_draining())
            case ('POST', 'v1', 'generate', model):
                await self._generations.generate(exchange, ModelId(model))
            case ('POST', 'v1', 'resume', *action):
                await self._generations.handle_resume(exchange, action)
            case (_, 'v1', 'call', service, *path):
                await self._calls.handle(
                    exchange,
                    ServiceId(service),
                    '/'.join(path),
                )
            case (_, 'v1', 'config', *path):
                self._config.handle(exchange, path)
            case ('GET', 'v1', 'status'):
                exchange.respond_json(self._state.describe())
            case ('POST', 'v1', 'trial', 'cut') if self._state.settings.trials:
                self._partition(exchange)
            case ('GET', 'v1', 'service-levels'):
                exchange.respond_json(
                    self._state.request_recorder.export(
                        self._state.settings.vm
                    ),
                )
            case ('GET', 'v1', 'explain', request):
                self._explain(exchange, request)
            case ('GET', 'metrics'):
                self._respond_metrics(exchange)
            case _:
                exchange.respond_verdict(
                    refuse(Reason.unknown_path, f'no path {exchange.path!r}'),
                )

    def _respond_metrics(self, exchange: Exchange) -> None:
        self._owner.set_gauges()
        exchange.respond(
            self._state.metrics.render(),
            'text/plain; version=0.0.4',
        )

    def _explain(self, exchange: Exchange, request: str) -> None:
        explanation = self._state.journal.explain(request)
        if explanation is None:
            explanation = Explanation(request, ())
        exchange.respond_json(explanation)

    def _partition(self, exchange: Exchange) -> None:
        try:
            partition = msgspec.json.decode(
                exchange.body, type=PartitionRequest
            )
        except msgspec.DecodeError as error:
            exchange.respond_verdict(refuse(Reason.bad_request, str(error)))
            return
        self._state.fleet.links.cut(partition.vms)
        exchange.respond_json(partition)
