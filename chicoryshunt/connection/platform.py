"""Client of the configuration service, which can only be read and watched."""

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Any, Protocol

from chicoryshunt.connection.client import (
    BrokenError,
    HttpClient,
    NotConnectedError,
    read_body,
)
from chicoryshunt.exceptions import PlatformError
from chicoryshunt.version.published import MAX_VALUE_BYTES

_ANSWER_SECONDS = 8.0
_REVISION = 'x-revision'


@dataclass(frozen=True, slots=True)
class PublishedValue:
    """Bytes under one key, and the revision that changes with them."""

    revision: int
    text: bytes


class Absence(Enum):
    """Name why a read showed no value."""

    unchanged = 'unchanged'
    missing = 'missing'


class ConfigService(Protocol):
    """What the system needs of the configuration service."""

    async def read(
        self,
        key: str,
        known: int | None = None,
        wait: float = 0,
    ) -> PublishedValue | Absence:
        """Read a key, waiting some seconds for a revision not yet known.

        Raises ``PlatformError``.
        """


class HttpConfigService:
    """Reads the configuration service over HTTP."""

    def __init__(self, base: str, client: HttpClient) -> None:
        """Read from the service at a base URL."""
        self._base = base
        self._client = client

    async def read(
        self,
        key: str,
        known: int | None = None,
        wait: float = 0,
    ) -> PublishedValue | Absence:
        """Read a key, waiting some seconds for a revision not yet known.

        Raises ``PlatformError``.
        """
        url = f'{self._base}/v1/values/{key}?wait={wait}'
        if known is not None:
            url = f'{url}&known={known}'
        try:
            return await self._read(url, wait + _ANSWER_SECONDS)
        except (NotConnectedError, BrokenError) as error:
            raise PlatformError(str(error)) from error

    async def _read(
        self,
        url: str,
        seconds: float,
    ) -> PublishedValue | Absence:
        response = await self._client.request(
            'GET',
            url,
            answer_seconds=seconds,
        )
        text = await read_body(response, _ANSWER_SECONDS, MAX_VALUE_BYTES)
        match response.code:
            case HTTPStatus.OK:
                return PublishedValue(_parse_revision(url, response), text)
            case HTTPStatus.NOT_MODIFIED:
                return Absence.unchanged
            case HTTPStatus.NOT_FOUND:
                return Absence.missing
            case status:
                raise PlatformError(f'{url}: status {status}')


def _parse_revision(url: str, response: Any) -> int:
    header = response.headers.getRawHeaders(_REVISION, [''])[0]
    try:
        return int(header)
    except ValueError as error:
        raise PlatformError(f'{url}: no revision in {header!r}') from error
