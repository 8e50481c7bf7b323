"""Starts stand-ins and nodes as processes and stops them by id."""

import json
import os
import socket
import subprocess
import sys
import time
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from urllib import error, request

READY_SECONDS = 20
_STOP_SECONDS = 20
_LOWEST_PORT = 10_000
_PORTS_PER_FLEET = 64
_PORT_SPAN = 20_000
_POLL_SECONDS = 0.1
_ROOT = Path(__file__).resolve().parents[2]


@dataclass(slots=True)
class Started:
    """One process with the port it listens on."""

    name: str
    process: 'subprocess.Popen[bytes]'
    port: int

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f'http://127.0.0.1:{self.port}'


def choose_first_port() -> int:
    """Return where to look for free ports, apart for each process."""
    return _LOWEST_PORT + os.getpid() * _PORTS_PER_FLEET % _PORT_SPAN


def is_free(port: int) -> bool:
    """Say whether a port of loopback can be listened on."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind(('127.0.0.1', port))
        except OSError:
            return False
        return True


@dataclass(slots=True)
class Fleet:
    """Every process of one run, by name."""

    folder: Path
    started: dict[str, Started] = field(default_factory=dict)
    _next_port: int = field(default_factory=choose_first_port)

    def reserve_ports(self, count: int) -> int:
        """Return the first of some consecutive ports that nobody uses."""
        while True:
            port = self._next_port
            self._next_port += count
            if all(is_free(port + offset) for offset in range(count)):
                return port

    def start_stand_in(self, kind: str, name: str, *options: str) -> Started:
        """Start a stand-in and wait until it answers."""
        started = self.launch_stand_in(kind, name, *options)
        wait_ready(started)
        return started

    def launch_stand_in(self, kind: str, name: str, *options: str) -> Started:
        """Start a stand-in without waiting for it."""
        port = self.reserve_ports(1)
        module = f'lab.standins.{kind}'
        return self._start(name, port, '-m', module, f'--port={port}', *options)

    def launch_module(self, module: str, port: int, *options: str) -> Started:
        """Start a module of the lab on a given port."""
        return self._start(
            module,
            port,
            '-m',
            f'lab.{module}',
            f'--port={port}',
            *options,
        )

    def launch_node(self, name: str, settings: dict[str, object]) -> Started:
        """Start a node without waiting for it."""
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        listen = settings['listen']
        assert isinstance(listen, dict)
        return self._start(
            name,
            listen['caller'],
            '-m',
            'chicoryshunt',
            'node',
            f'--settings={path}',
        )

    def stop(self) -> None:
        """Stop every process that still runs, by its id."""
        for started in reversed(self.started.values()):
            if started.process.poll() is None:
                started.process.terminate()
        for started in self.started.values():
            try:
                started.process.wait(_STOP_SECONDS)
            except subprocess.TimeoutExpired:
                started.process.kill()

    def _start(self, name: str, port: int, *arguments: str) -> Started:
        log = (self.folder / f'{name}.log').open('ab')
        process = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=log,
            stderr=log,
            cwd=_ROOT,
            env=os.environ | {'PYTHONPATH': str(_ROOT)},
        )
        started = Started(name, process, port)
        self.started[name] = started
        return started


def wait_ready(started: Started) -> None:
    """Wait until a process answers on its port."""
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline:
        if started.process.poll() is not None:
            break
        try:
            send(started.url, 'GET', '/ready')
        except error.HTTPError:
            return
        except OSError:
            time.sleep(_POLL_SECONDS)
        else:
            return
    raise RuntimeError(f'{started.name} did not start')


def wait_leases(
    nodes: Sequence[Started],
    seconds: float = READY_SECONDS,
) -> None:
    """Wait until each node knows keepers and some slots are leased."""
    deadline = time.monotonic() + seconds
    while not all(has_leases(node) for node in nodes):
        if time.monotonic() > deadline:
            raise RuntimeError('the targets have no keepers that lease')
        time.sleep(_POLL_SECONDS)


def has_leases(node: Started) -> bool:
    """Say whether a node knows keepers and holds slots of some target."""
    status = json.loads(send(node.url, 'GET', '/v1/status'))
    leases = status['leases']
    are_kept = all(lease['keeper'] for lease in leases)
    return are_kept and any(lease['slots'] for lease in leases)


def wait_version(nodes: Iterable[Started], version: int) -> None:
    """Wait until nodes have a version of the configuration in force."""
    deadline = time.monotonic() + READY_SECONDS
    for node in nodes:
        while json.loads(send(node.url, 'GET', '/v1/status'))['version'] < (
            version
        ):
            if time.monotonic() > deadline:
                raise RuntimeError(f'{node.name} has not version {version}')
            time.sleep(_POLL_SECONDS)


def send(
    base: str,
    method: str,
    path: str,
    message: object = None,
    seconds: float = READY_SECONDS,
) -> bytes:
    """Send one JSON request and return the body of the answer."""
    body = None if message is None else json.dumps(message).encode()
    sent = request.Request(base + path, body, method=method)
    with request.urlopen(sent, timeout=seconds) as answer:
        return bytes(answer.read())


@contextmanager
def run_fleet(folder: Path) -> Iterator[Fleet]:
    """Yield an empty fleet and stop all that was started in it."""
    folder.mkdir(parents=True, exist_ok=True)
    fleet = Fleet(folder)
    try:
        yield fleet
    finally:
        fleet.stop()
