"""Calls between nodes over gRPC, sealed like the datagrams."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any, Generic, Protocol, TypeVar, cast

import msgspec
from grpc import (
    StatusCode,
    aio,
    method_handlers_generic_handler,
    unary_unary_rpc_method_handler,
)

from chicoryshunt.events import log_problem
from chicoryshunt.exceptions import ChicoryshuntError
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.links import Links
from chicoryshunt.nodes.pause import PauseDetector
from chicoryshunt.nodes.seal import DropReason, Envelope, Seal
from chicoryshunt.types import VmId

MAX_CHANNELS = 64

_SERVICE = 'chicoryshunt.Peer'
_MAX_MESSAGE_BYTES = 16777216
_MAX_CONCURRENT_CALLS = 512
_OPTIONS = (
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.enable_retries', 0),
    ('grpc.so_reuseport', 0),
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


class PeerCaller(Protocol):
    """Calls other nodes."""

    async def call(
        self,
        vm: VmId,
        method: Method[_Request, _Response],
        request: _Request,
        seconds: float,
    ) -> _Response:
        """Call a node and return its answer; raise ``PeerError``."""


class PeerServer:
    """Answers the calls of other nodes."""

    def __init__(
        self,
        seal: Seal,
        links: Links,
        pause_detector: PauseDetector,
        metrics: Metrics,
    ) -> None:
        """Start without methods; ``port`` is 0 until it listens."""
        self.port = 0
        self._seal = seal
        self._links = links
        self._pause_detector = pause_detector
        self._metrics = metrics
        self._handlers: dict[str, Any] = {}

    def register(
        self,
        method: Method[_Request, _Response],
        handle: Callable[[VmId, _Request], Awaitable[_Response]],
    ) -> None:
        """Answer a method with a coroutine."""
        decoder = msgspec.msgpack.Decoder(method.request)

        async def answer(sealed: bytes, context: Any) -> bytes:
            self._pause_detector.check()
            envelope = await self._open(sealed, context)
            try:
                request = decoder.decode(envelope.body)
            except msgspec.DecodeError:
                self._count_drop('undecodable')
                await context.abort(
                    StatusCode.INVALID_ARGUMENT,
                    'undecodable',
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
        server = aio.server(
            options=_OPTIONS,
            maximum_concurrent_rpcs=_MAX_CONCURRENT_CALLS,
        )
        server.add_generic_rpc_handlers(
            (
                method_handlers_generic_handler(
                    _SERVICE,
                    self._handlers,
                ),
            ),
        )
        self.port = server.add_insecure_port(address)
        if not self.port:
            raise ChicoryshuntError(f'cannot listen on {address}')
        await server.start()
        return server

    async def _open(self, sealed: bytes, context: Any) -> Envelope:
        envelope = self._seal.open(sealed)
        if isinstance(envelope, DropReason):
            self._count_drop(envelope.value)
            await context.abort(StatusCode.UNAUTHENTICATED, envelope.value)
        elif self._links.is_cut(envelope.sender):
            await context.abort(StatusCode.UNAVAILABLE, 'cut')
        return cast(Envelope, envelope)

    def _count_drop(self, reason: str) -> None:
        self._metrics.count(
            'calls_dropped',
            'Calls of other nodes that were dropped, by reason',
            reason=reason,
        )
        log_problem('call_dropped', reason=reason)


class PeerClient:
    """Calls other nodes over kept channels."""

    def __init__(self, seal: Seal, links: Links) -> None:
        """Start without channels."""
        self._seal = seal
        self._links = links
        self._channels: OrderedDict[str, _Channel] = OrderedDict()

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
        channel = self._get_channel(address)
        channel.calls += 1
        try:
            answer = await channel.send(method.name, sealed, seconds)
        except aio.AioRpcError as error:
            raise PeerError(
                f'{vm}: {error.code().name}: {error.details()}',
                sent=True,
            ) from error
        finally:
            channel.calls -= 1
        return self._decode(vm, method, answer)

    async def close(self) -> None:
        """Close every channel."""
        for channel in self._channels.values():
            await channel.grpc.close()
        self._channels.clear()

    def _decode(
        self,
        vm: VmId,
        method: Method[_Request, _Response],
        answer: bytes,
    ) -> _Response:
        envelope = self._seal.open(answer)
        if isinstance(envelope, DropReason):
            raise PeerError(f'{vm}: {envelope.value} answer', sent=True)
        if envelope.sender != vm or self._links.is_cut(vm):
            raise PeerError(f'{vm}: answer of another node', sent=True)
        try:
            return msgspec.msgpack.decode(envelope.body, type=method.response)
        except msgspec.DecodeError as error:
            raise PeerError(f'{vm}: undecodable answer', sent=True) from error

    def _get_channel(self, address: str) -> '_Channel':
        channel = self._channels.get(address)
        if channel is None:
            channel = _Channel(address)
            self._channels[address] = channel
            self._drop_idle_channel()
        self._channels.move_to_end(address)
        return channel

    def _drop_idle_channel(self) -> None:
        if len(self._channels) <= MAX_CHANNELS:
            return
        for address, channel in self._channels.items():
            if not channel.calls:
                channel.close_soon()
                self._channels.pop(address)
                return


class _Channel:
    """One channel and the number of calls that use it."""

    def __init__(self, address: str) -> None:
        self.calls = 0
        self.grpc = aio.insecure_channel(address, options=_OPTIONS)
        self._closing: asyncio.Task[None] | None = None

    async def send(self, name: str, sealed: bytes, seconds: float) -> bytes:
        unary: Any = self.grpc.unary_unary(f'/{_SERVICE}/{name}')
        return cast(bytes, await unary(sealed, timeout=seconds))

    def close_soon(self) -> None:
        self._closing = asyncio.ensure_future(self.grpc.close())
