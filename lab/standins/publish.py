"""Publishing of configurations, as the operators' tools do it."""

from collections.abc import Sequence
from http import HTTPStatus
from urllib import error, request

import msgspec

from chicoryshunt.types import LogPosition
from chicoryshunt.version.config import Config
from chicoryshunt.version.fold import chain_digest, fold_line
from chicoryshunt.version.published import (
    LOG_KEY,
    Damage,
    LogHeader,
    PublishedLog,
    format_log,
    parse_base,
    parse_log,
    split_base,
)

_TIMEOUT_SECONDS = 20


class Publisher:
    """Writes bases and patch logs to the configuration service stand-in."""

    def __init__(self, url: str) -> None:
        """Publish to the service at a base URL."""
        self._url = url

    def publish_base(self, config: Config) -> None:
        """Publish a configuration as the base of an empty log."""
        header, values = split_base(config)
        self._put_base(header, values)
        self._put(LOG_KEY, format_log(header, ()))

    def append(self, line: bytes) -> LogPosition:
        """Append a patch and return its position; retry if the log changed."""
        while True:
            revision, log = self.read_log()
            lines = (*log.lines, line)
            if self._put(LOG_KEY, format_log(log.header, lines), revision):
                return LogPosition(log.header.position + len(lines))

    def submit(self, operations: Sequence[dict[str, object]]) -> LogPosition:
        """Append a patch of operations based on the latest version."""
        _, log = self.read_log()
        version = self.fold(log).version
        patch = {'base': version, 'operations': operations}
        return self.append(msgspec.json.encode(patch))

    def compact(self) -> None:
        """Publish the latest version as the base of an empty log."""
        revision, log = self.read_log()
        digest = log.header.digest
        earlier = list(log.header.earlier)
        for line in log.lines:
            earlier.append(digest)
            digest = chain_digest(digest, line)
        header, values = split_base(self.fold(log), tuple(earlier))
        self._put_base(header, values)
        self._put(LOG_KEY, format_log(header, ()), revision)

    def read_log(self) -> tuple[str, PublishedLog]:
        """Return the log and its revision."""
        revision, text = self._get(LOG_KEY)
        log = parse_log(text)
        if isinstance(log, Damage):
            raise RuntimeError(f'log is damaged: {log.value}')
        return revision, log

    def fold(self, log: PublishedLog) -> Config:
        """Return the configuration that a log produces from its base."""
        values = [self._get(key)[1] for key in log.header.keys]
        config = parse_base(log.header, values)
        if isinstance(config, Damage):
            raise RuntimeError(f'base is damaged: {config.value}')
        for line in log.lines:
            config = fold_line(config, line).config
        return config

    def _put_base(self, header: LogHeader, values: Sequence[bytes]) -> None:
        for key, text in zip(header.keys, values, strict=True):
            self._put(key, text)

    def _get(self, key: str) -> tuple[str, bytes]:
        url = f'{self._url}/v1/values/{key}'
        with request.urlopen(url, timeout=_TIMEOUT_SECONDS) as answer:
            return answer.headers['x-revision'], answer.read()

    def _put(self, key: str, text: bytes, revision: str = '') -> bool:
        url = f'{self._url}/v1/values/{key}'
        headers = {'if-match': revision} if revision else {}
        sent = request.Request(url, text, headers, method='PUT')
        try:
            request.urlopen(sent, timeout=_TIMEOUT_SECONDS).close()
        except error.HTTPError as refused:
            if refused.code == HTTPStatus.PRECONDITION_FAILED:
                return False
            raise
        return True
