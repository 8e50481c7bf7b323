"""Calls between nodes over gRPC, sealed like the datagrams."""

from collections.abc import Awaitable, Callable
from typing import Any, Generic, TypeVar, cast

import msgspec
from grpc import (
    StatusCode,
    aio,
    method_handlers_generic_handler,
    unary_unary_rpc_method_handler,
)

from chicoryshunt.events import log_problem
from chicoryshunt.exceptions import ChicoryshuntError
from chicoryshunt.process.links import Links
from chicoryshunt.process.seal import Damage, Seal
from chicoryshunt.types import VmId

_SERVICE = 'chicoryshunt.Peer'
_MAX_MESSAGE_BYTES = 16777216
_OPTIONS = (
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.use_local_subchannel_pool', 1),
)

_Request = TypeVar('_Request')
_Response = TypeVar('_Response')


class PeerError(ChicoryshuntError):
    """A node did not answer; ``sent`` says whether it may have received."""

    def __init__(self, text: str, *, sent: bool) -> None:
        """Say what failed and whether the request may have arrived."""
        super().__init__(text)
        self.sent = sent


class Method(msgspec.Struct, Generic[_Request, _Response], frozen=True):
    """Name and types of one call between nodes."""

    name: str
    request: type[_Request]
    response: type[_Response]


class PeerServer:
    """Answers the calls of other nodes."""

    def __init__(self, seal: Seal, links: Links) -> None:
        """Start without methods."""
        self._seal = seal
        self._links = links
        self._handlers: dict[str, Any] = {}

    def register(
        self,
        method: Method[_Request, _Response],
        handle: Callable[[VmId, _Request], Awaitable[_Response]],
    ) -> None:
        """Answer a method with a coroutine."""

        async def answer(sealed: bytes, context: Any) -> bytes:
            envelope = self._seal.open(sealed)
            if isinstance(envelope, Damage):
                log_problem('call_dropped', reason=envelope.value)
                await context.abort(
                    StatusCode.UNAUTHENTICATED,
                    envelope.value,
                )
                raise AssertionError('abort returns never')
            if self._links.is_cut(envelope.sender):
                await context.abort(StatusCode.UNAVAILABLE, 'cut')
            request = msgspec.msgpack.decode(
                envelope.body,
                type=method.request,
            )
            response = await handle(envelope.sender, request)
            return self._seal.seal(
                envelope.sender,
                msgspec.msgpack.encode(response),
            )

        self._handlers[method.name] = unary_unary_rpc_method_handler(
            cast(Any, answer),
        )

    async def start(self, address: str) -> aio.Server:
        """Listen on host:port; the caller stops the server."""
        server = aio.server(options=_OPTIONS)
        server.add_generic_rpc_handlers(
            (
                method_handlers_generic_handler(
                    _SERVICE,
                    self._handlers,
                ),
            ),
        )
        if not server.add_insecure_port(address):
            raise ChicoryshuntError(f'cannot listen on {address}')
        await server.start()
        return server


class PeerClient:
    """Calls other nodes over kept channels."""

    def __init__(self, seal: Seal, links: Links) -> None:
        """Start without channels."""
        self._seal = seal
        self._links = links
        self._channels: dict[str, aio.Channel] = {}

    async def call(
        self,
        vm: VmId,
        method: Method[_Request, _Response],
        request: _Request,
        seconds: float,
    ) -> _Response:
        """Call a node and return its answer; raise ``PeerError``."""
        address = self._links.find_peer(vm)
        if address is None:
            raise PeerError(f'no address of {vm!r}', sent=False)
        sealed = self._seal.seal(vm, msgspec.msgpack.encode(request))
        unary: Any = self._get_channel(address).unary_unary(
            f'/{_SERVICE}/{method.name}',
        )
        try:
            answer = await unary(sealed, timeout=seconds)
        except aio.AioRpcError as error:
            raise PeerError(
                f'{vm}: {error.code().name}: {error.details()}',
                sent=True,
            ) from error
        envelope = self._seal.open(cast(bytes, answer))
        if isinstance(envelope, Damage):
            raise PeerError(f'{vm}: {envelope.value} answer', sent=True)
        return msgspec.msgpack.decode(envelope.body, type=method.response)

    async def close(self) -> None:
        """Close every channel."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()

    def _get_channel(self, address: str) -> aio.Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = aio.insecure_channel(address, options=_OPTIONS)
            self._channels[address] = channel
        return channel
