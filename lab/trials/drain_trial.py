"""Stops a node in the middle of its streams and calls, as processes."""

import asyncio
import json
import signal
import sys
import tempfile
from dataclasses import asdict, dataclass
from http import HTTPStatus
from pathlib import Path
from types import MappingProxyType
from typing import Any

import msgspec

from chicoryshunt.connection.caller_api import Entries, GrantOffer
from chicoryshunt.connection.client import (
    BrokenError,
    HttpClient,
    NotConnectedError,
    read_body,
)
from chicoryshunt.connection.target_api import StreamEvent
from chicoryshunt.operations import run_until_done
from lab.trials.failures import order_fault
from lab.trials.fleet import run_fleet, send
from lab.trials.topology import SMALL, Placed, UserFleet

_STREAMS = 8
_TOKENS = 400
_PROMPT = json.dumps({'prompt': f'length={_TOKENS}'}).encode()
_HEADERS = MappingProxyType({'x-team': SMALL.teams[0]})
_RETRY_SECONDS = 0.2
_KEY = 'pairing-17'
_DATA = b'data: '
_SECOND_SIGNAL_SECONDS = 0.3
_SIGNAL_INTERVAL_SECONDS = 0.001
_GOSSIP_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Reply:
    """What came back of one request; ``status`` 0 means nothing did."""

    status: int
    body: bytes = b''
    verdict: str = ''
    grant: str = ''
    entries: str = ''


@dataclass(slots=True)
class Findings:
    """What the trial saw; every field must be as ``is_good`` says."""

    whole_streams: int = 0
    filing: str = ''
    refusal: str = ''
    other_addresses: str = ''
    listed_after: bool = True
    exit_status: int | None = None
    repeats: tuple[str, ...] = ()
    unknown: str = ''
    most_runs: int = 0

    @property
    def is_good(self) -> bool:
        """Say whether the stop cut, lost and doubled nothing."""
        return all(
            (
                self.whole_streams == _STREAMS,
                set(self.repeats) == {self.filing},
                self.refusal == 'not_run',
                self.other_addresses,
                not self.listed_after,
                self.exit_status == 0,
                self.unknown == 'not_run with a fresh grant',
                self.most_runs == 1,
            ),
        )


class DrainTrial:
    """One node leaves while it streams and files."""

    def __init__(self, user: UserFleet) -> None:
        """Stop the first node of a user's fleet."""
        self._user = user
        self._leaver = user.nodes[0]
        self._client = HttpClient(keeps_connections=False)
        self._findings = Findings()

    async def run(self) -> Findings:
        """Return what was seen."""
        streams = await self._open_streams()
        grant = await self._get_grant()
        order_fault(self._user.services[0].url, 'slow')
        filing = asyncio.ensure_future(self._file(self._leaver, grant, _KEY))
        await asyncio.sleep(1)
        await self._stop_twice()
        found = self._findings
        found.whole_streams = sum(await asyncio.gather(*streams))
        found.filing = _show(await filing)
        found.exit_status = await self._wait_exit()
        await self._repeat(grant)
        runs = json.loads(send(self._user.services[0].url, 'GET', '/runs'))
        found.most_runs = max(runs.values())
        return found

    async def _get_grant(self) -> GrantOffer:
        _, body = await self._client.read(
            'GET',
            f'{self._leaver.url}/v1/entries',
        )
        grant = msgspec.json.decode(body, type=Entries).grant
        assert grant is not None
        return grant

    async def _stop_twice(self) -> None:
        self._leaver.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(_SECOND_SIGNAL_SECONDS)
        self._leaver.process.send_signal(signal.SIGTERM)
        await self._ask_while_leaving()

    async def _wait_exit(self) -> int:
        """Signal on until the very end; return the exit status."""
        process = self._leaver.process
        while process.poll() is None:
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(_SIGNAL_INTERVAL_SECONDS)
        return int(process.returncode)

    async def _ask_while_leaving(self) -> None:
        refusal = await self._generate()
        self._findings.refusal = refusal.verdict
        self._findings.other_addresses = refusal.entries
        await asyncio.sleep(_GOSSIP_SECONDS)
        _, body = await self._client.read(
            'GET',
            f'{self._user.nodes[1].url}/v1/entries',
        )
        listed = msgspec.json.decode(body, type=Entries).entries
        self._findings.listed_after = any(
            entry.vm == self._leaver.name for entry in listed
        )

    async def _repeat(self, grant: GrantOffer) -> None:
        others = self._user.nodes[1:]
        self._findings.repeats = tuple(
            [_show(await self._file(one, grant, _KEY)) for one in others],
        )
        reply = await self._file(others[0], grant, 'never-sent')
        if reply.grant:
            self._findings.unknown = f'{reply.verdict} with a fresh grant'

    async def _open_streams(self) -> list['asyncio.Future[bool]']:
        opened = await asyncio.gather(
            *(self._open_stream() for _ in range(_STREAMS)),
        )
        return [asyncio.ensure_future(_is_whole(one)) for one in opened]

    async def _open_stream(self) -> Any:
        """Return a stream that has begun, however often it was refused."""
        while True:
            response = await self._client.request(
                'POST',
                f'{self._leaver.url}/v1/generate/{SMALL.model}',
                _PROMPT,
                _HEADERS,
            )
            if response.code == HTTPStatus.OK:
                return response
            await read_body(response)
            await asyncio.sleep(_RETRY_SECONDS)

    async def _generate(self) -> Reply:
        return await self._post(
            f'{self._leaver.url}/v1/generate/{SMALL.model}',
            _PROMPT,
            {},
        )

    async def _file(
        self,
        node: Placed,
        grant: GrantOffer,
        key: str,
    ) -> Reply:
        return await self._post(
            f'{node.url}/v1/call/{SMALL.service}/file',
            b'{}',
            {'x-grant': grant.token, 'idempotency-key': key},
        )

    async def _post(
        self,
        url: str,
        body: bytes,
        headers: dict[str, str],
    ) -> Reply:
        try:
            return await self._receive(url, body, {**_HEADERS, **headers})
        except (NotConnectedError, BrokenError) as error:
            return Reply(0, str(error).encode())

    async def _receive(
        self,
        url: str,
        body: bytes,
        headers: dict[str, str],
    ) -> Reply:
        response = await self._client.request('POST', url, body, headers)
        found = response.headers.getRawHeaders
        return Reply(
            response.code,
            await read_body(response),
            found('x-verdict', [''])[0],
            found('x-grant', [''])[0],
            found('x-entries', [''])[0],
        )


async def _is_whole(response: Any) -> bool:
    try:
        body = await read_body(response)
    except BrokenError:
        return False
    tokens: list[str] = []
    for frame in body.split(b'\n\n'):
        if frame.startswith(_DATA):
            event = msgspec.json.decode(
                frame.removeprefix(_DATA),
                type=StreamEvent,
            )
            tokens.extend(event.t)
    expected = [f't{index}' for index in range(_TOKENS)]
    return tokens == expected and b'"ending":"stop"' in body


def _show(reply: Reply) -> str:
    return f'{reply.status} {reply.verdict} {reply.body.decode()}'


def main() -> None:
    """Run the trial; exit 0 when nothing was cut, lost or doubled."""
    with (
        tempfile.TemporaryDirectory() as folder,
        run_fleet(Path(folder)) as fleet,
    ):
        user = UserFleet(fleet, SMALL)
        findings = run_until_done(lambda: DrainTrial(user).run())
    print(json.dumps(asdict(findings), indent=2))
    sys.exit(0 if findings.is_good else 1)


if __name__ == '__main__':
    main()
