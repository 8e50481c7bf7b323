"""Node processes of the project with the stand-ins around them."""

import asyncio
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from standins.http import ask
from standins.store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = 'club.example'
KEY = 'key-of-the-club'
ZONES = ('luzon-a', 'luzon-b', 'luzon-c')
_RESTART_SECONDS = 0.5
_START_SECONDS = 20


class Record:
    """The file ``record.txt``: what was sent, answered and run."""

    def __init__(self, folder):
        """Begin an empty record."""
        self._file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')
        self._began = time.monotonic()

    def write(self, text):
        """Write one line with the seconds since the start."""
        now = time.monotonic() - self._began
        self._file.write(f'{now:9.3f} {text}\n')
        self._file.flush()


class Node:
    """One node as the platform runs it: a process that ends is restarted."""

    def __init__(self, name, host, zone, folder, lines, record):
        """Write the settings file; start nothing yet."""
        self.name = name
        self.host = host
        self.zone = zone
        self.own_ends = 0
        self.starts = 0
        self.process = None
        self._record = record
        self._settings = folder / f'{name}.conf'
        self._settings.write_text(lines, encoding='utf-8')
        self._is_wanted = False
        self._log = (folder / f'{name}.log').open('ab')
        self.log_path = folder / f'{name}.log'

    def start(self):
        """Start the process."""
        self._is_wanted = True
        self.starts += 1
        self.process = subprocess.Popen(
            # The command of the role in deploy/system.toml.
            ('python3', '-m', 'chicoryshunt.platform'),
            cwd=ROOT,
            env={
                'PATH': os.environ.get('PATH', ''),
                'HOME': os.environ.get('HOME', '/'),
                'LANG': os.environ.get('LANG', 'C.UTF-8'),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'CHICORYSHUNT_BOOT': str(self._settings),
            },
            stdout=self._log,
            stderr=self._log,
            stdin=subprocess.DEVNULL,
        )
        self._record.write(f'{self.name} started, start {self.starts}')

    async def watch(self):
        """Restart the process after a short delay when it ends by itself."""
        while True:
            await asyncio.sleep(0.02)
            if self.process is None or not self._is_wanted:
                continue
            status = self.process.poll()
            if status is None:
                continue
            if status == -signal.SIGKILL:
                # Only the case itself kills nodes.
                self._record.write(f'{self.name} ended, as it was killed')
            else:
                self.own_ends += 1
                last = self._read_last_line()
                self._record.write(
                    f'{self.name} ended by itself with status {status}: {last}'
                )
            await asyncio.sleep(_RESTART_SECONDS)
            if self._is_wanted:
                self.start()

    def kill(self):
        """End the process for good."""
        self._is_wanted = False
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def _read_last_line(self):
        lines = self.log_path.read_bytes().decode('utf-8', 'replace')
        found = [line for line in lines.splitlines() if line.strip()]
        return found[-1][:200] if found else ''


class World:
    """A small deployment on loopback addresses."""

    def __init__(self, folder):
        """Start the record of a case; ``folder`` is the folder of the case."""
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.store_address = ''
        self.nodes = []
        self.ports = {}
        self._tasks = []
        self._servers = []
        number = os.getpid()
        self._net = f'127.{64 + (number >> 8) % 128}.{number % 256}'
        self._next_host = 10

    async def serve(self, handle, host=None, port=0):
        """Serve channels on a loopback address; return IP:PORT."""
        server = await asyncio.start_server(
            handle, host or '127.0.0.1', port, limit=1 << 20, backlog=512
        )
        self._servers.append(server)
        name, number = server.sockets[0].getsockname()
        return f'{name}:{number}'

    async def start(self, count, config):
        """Publish a configuration and start nodes; wait until they serve."""
        self.store.put('op/config', config)
        self.store_address = await self.serve(self.store.serve)
        self._choose_ports(count)
        for number in range(count):
            self._add_node(number)
        for node in self.nodes:
            node.start()
            self._tasks.append(asyncio.ensure_future(node.watch()))
        until = time.monotonic() + _START_SECONDS
        while time.monotonic() < until:
            ready = [await self.is_ready(node) for node in self.nodes]
            if all(ready):
                await asyncio.sleep(3)
                self.record.write('all nodes are ready')
                return
            await asyncio.sleep(0.2)
        raise RuntimeError('the nodes did not get ready')

    async def is_ready(self, node):
        """Return whether a node says that it is ready."""
        asked = ask(
            node.host, self.ports['readiness'], 'GET', '/chicoryshunt/ready',
            [('Host', 'platform')],
        )
        try:
            answer = await asyncio.wait_for(asked, 1)
        except TimeoutError:
            return False
        return answer.status == 200

    def publish(self, runner, **changes):
        """Write the entry of a runner, as the runner does itself."""
        entry = {
            'service': runner.service,
            'address': runner.address,
            'zone': runner.zone,
            'version': 'v1',
            'slots': runner.slots,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': runner.born,
        }
        entry.update(changes)
        self.store.put(f'servers/{runner.id}', entry)

    async def close(self):
        """End every process and every server."""
        for node in self.nodes:
            node.kill()
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        logs = os.environ.get('KEEP_LOGS')
        if logs:
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def _choose_ports(self, count):
        """Choose ports that are free on the addresses of all nodes."""
        hosts = [f'{self._net}.{self._next_host + n}' for n in range(count)]
        taken = []
        names = ('front', 'readiness', 'control', 'directory', 'internal', 'metrics')
        for name in names:
            while True:
                probe = socket.socket()
                probe.bind((hosts[0], 0))
                port = probe.getsockname()[1]
                if name == 'metrics':
                    probe.close()
                    port = self.ports['internal'] + 1
                    probe = socket.socket()
                try:
                    if name == 'metrics':
                        probe.bind((hosts[0], port))
                    for host in hosts[1:]:
                        other = socket.socket()
                        taken.append(other)
                        other.bind((host, port))
                except OSError:
                    probe.close()
                    if name == 'metrics':
                        raise RuntimeError('no free ports') from None
                    continue
                taken.append(probe)
                self.ports[name] = port
                break
        for one in taken:
            one.close()

    def _add_node(self, number):
        host = f'{self._net}.{self._next_host + number}'
        zone = ZONES[number % len(ZONES)]
        name = f'front-{zone}-{number // len(ZONES) + 1}'
        lines = self._build_settings(name, host, zone)
        self.nodes.append(
            Node(name, host, zone, self.folder, lines, self.record)
        )

    def _build_settings(self, name, host, zone):
        ports = self.ports
        seeds = ','.join(
            f'{self._net}.{self._next_host + n}:{ports["control"]}'
            for n in range(3)
        )
        named = {
            'node_name': name,
            'role': 'entry',
            'machine_class': 'front',
            'serves': 'front,control,directory',
            'ip': host,
            'zone': zone,
            'region': 'ph-luzon',
            **{f'zones.{one}': 'ph-luzon' for one in ZONES},
            'listen.front': f'{host}:{ports["front"]}',
            'listen.readiness': f'{host}:{ports["readiness"]}',
            'listen.control': f'{host}:{ports["control"]}',
            'listen.directory': f'{host}:{ports["directory"]}',
            'internal_port_range': f'{ports["internal"]},{ports["internal"] + 15}',
            'seeds': seeds,
            'bootstrap': 'true',
            'limits.memory_mb': '150',
            'limits.max_fds': '4100',
            'discovery': 'platform',
            'entry': 'directory',
            'heartbeat_ms': '1200',
            'bounds.stable_window_ms': '3000',
            'bounds.drain_ms': '2000',
            'bounds.grace_s': '8',
            'bounds.loss_slack_ms': '200',
            'bounds.config_apply_ms': '2000',
            'bounds.rollback_slack_ms': '250',
            'bounds.retry_ratio': '0.2',
            'bounds.retry_window_s': '10',
            'bounds.retry_slack': '58',
            'bounds.evacuate_ms': '5000',
            'bounds.recover_s': '12',
            'bounds.pass_ms': '120',
            'bounds.ttl_max_s': '5',
            'platform.address': self.store_address,
            'platform.form': 'read',
            'platform.reads_per_s': '2000',
            'platform.history_s': '20',
            'platform.value_bytes': '1048576',
        }
        return ''.join(f'{key}={text}\n' for key, text in named.items())


def build_config(version=100, **timeouts):
    """Return a configuration like that of a small deployment."""
    engine = {
        'slots': 24,
        'kv_capacity': 34312,
        'kv_token_bytes': 262144,
        'link_mbps': 38000,
        'moves': False,
        'stride': 4,
    }
    return {
        'version': version,
        'routes': [
            _build_route('confirm', 'unsafe', 'arbiter-api', 600, 125, 1),
            _build_route('read', 'safe', 'arbiter-api', 600, 125, 2),
            {
                **_build_route(
                    'verdict', 'streaming', 'kibitzer-llm', 6000, 1500, 2
                ),
                'stream_resume': True,
                'target_gap_ms': 180,
                'session_affinity': True,
            },
            {
                **_build_route(
                    'annotation', 'streaming', 'kibitzer-llm', 39000, 1800, 1
                ),
                'stream_resume': False,
                'target_gap_ms': 180,
                'session_affinity': True,
            },
        ],
        'services': [
            {
                'name': 'kibitzer-llm',
                'max_connections': 252,
                'health_path': '/health',
                'cold_start_s': 0,
                'cold_per_s': 0,
                'engine': engine,
            },
            {
                'name': 'arbiter-api',
                'max_connections': 110,
                'health_path': '/health',
                'cold_start_s': 0,
                'cold_per_s': 0,
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'club', 'api_keys': [KEY], 'priority': 1}],
    }


def _build_route(name, kind, service, timeout, latency, attempts):
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': timeout,
        'target_latency_ms': latency,
        'priority': 1,
        'service': service,
        'max_attempts': attempts,
        'public': False,
    }


def build_headers(request, deadline_ms, engine=False):
    """Return the headers that a client sends with a request."""
    headers = [
        ('Host', HOST),
        ('X-Chicoryshunt-Request-Id', request),
        ('X-Chicoryshunt-Deadline-Ms', str(deadline_ms)),
        ('Authorization', f'Bearer {KEY}'),
    ]
    if engine:
        headers += [
            ('X-Chicoryshunt-Model', 'm'),
            ('X-Chicoryshunt-Token-Count', '400,80'),
            ('X-Chicoryshunt-Prefix-Hash', f'5c1e07a2:210,{request[:8]}:190'),
        ]
    return headers


def run_case(main, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else 2.

    ``main(world, trouble)`` returns the lines that tell what was broken.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def play():
        loop = asyncio.get_running_loop()
        playing = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            # Whoever stops the case early finds no process left over.
            loop.add_signal_handler(number, playing.cancel)
        world = World(folder)
        try:
            broken = await asyncio.wait_for(main(world, trouble), 110)
        except (Exception, asyncio.CancelledError) as error:
            world.record.write(f'the case could not run: {error!r}')
            print(f'the case could not run: {error!r}')
            return 2
        finally:
            await world.close()
        for line in broken or ['the rule held']:
            world.record.write(line)
            print(line)
        return 1 if broken else 0

    sys.exit(asyncio.run(play()))
