"""Read-only client of the platform's configuration service."""

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
_REVISION_HEADER = 'x-revision'


@dataclass(frozen=True, slots=True)
class PublishedValue:
    """Bytes under one key and the revision, which changes with them."""

    revision: int
    text: bytes


class Absence(Enum):
    """Reason why a read returned no value."""

    unchanged = 'unchanged'
    missing = 'missing'


class ConfigService(Protocol):
    """Interface of the configuration service."""

    async def read(
        self,
        key: str,
        known: int | None = None,
        wait: float = 0,
    ) -> PublishedValue | Absence:
        """Return the value of a key, or why there is none.

        While the revision is still ``known``, the service delays its answer
        for up to ``wait`` seconds. Raises ``PlatformError``.
        """


class HttpConfigService:
    """HTTP client of the configuration service."""

    def __init__(self, base_url: str, client: HttpClient) -> None:
        """Read from the service at ``base_url``."""
        self._base_url = base_url
        self._client = client

    async def read(
        self,
        key: str,
        known: int | None = None,
        wait: float = 0,
    ) -> PublishedValue | Absence:
        """Return the value of a key, or why there is none.

        While the revision is still ``known``, the service delays its answer
        for up to ``wait`` seconds. Raises ``PlatformError``.
        """
        url = f'{self._base_url}/v1/values/{key}?wait={wait}'
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
    header = response.headers.getRawHeaders(_REVISION_HEADER, [''])[0]
    try:
        return int(header)
    except ValueError as error:
        raise PlatformError(f'{url}: invalid revision {header!r}') from error
