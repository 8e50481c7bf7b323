"""Minimal settings, configuration and items in the platform's format."""

from typing import Any

HOST = 'club.example'
CALLERS = 8740
READINESS = 8749
PEERS = 8748
DIRECTORY = 8746
GOSSIP = 7200
KEY = 'k1'


def build_lines(store: str, host: str, **changes: str) -> str:
    """Return the settings file of one VM; empty changes omit a line."""
    named = {
        'node_name': 'front-a-1',
        'ip': host,
        'zone': 'luzon-a',
        'listen.front': f'{host}:{CALLERS}',
        'listen.readiness': f'{host}:{READINESS}',
        'listen.control': f'{host}:{PEERS}',
        'listen.directory': f'{host}:{DIRECTORY}',
        'internal_port_range': f'{GOSSIP},7215',
        'seeds': f'{host}:{PEERS}',
        'bounds.retry_ratio': '0.2',
        'bounds.retry_slack': '58',
        'bounds.config_apply_ms': '2000',
        'bounds.grace_s': '8',
        'platform.address': store,
    }
    named.update(changes)
    return '\n'.join(f'{name}={text}' for name, text in named.items() if text)


def build_config(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with safe, unsafe and streaming routes."""
    config: dict[str, Any] = {
        'version': version,
        'routes': [
            _build_route('/reads/', 'safe', 'plain', 2),
            _build_route('/filings/', 'unsafe', 'plain', 1),
            _build_route('/drafts/', 'streaming', 'engines', 1),
        ],
        'services': [
            {'name': 'plain', 'max_connections': 50},
            {
                'name': 'engines',
                'health_path': '/health',
                'max_connections': 50,
                'engine': {
                    'slots': 24,
                    'kv_capacity': 34000,
                    'kv_token_bytes': 262144,
                    'link_mbps': 38000,
                    'moves': True,
                    'stride': 4,
                    'handle_s': 5,
                },
            },
        ],
        'tenants': [{'name': 'club', 'api_keys': [KEY], 'priority': 1}],
    }
    config.update(changes)
    return config


def build_crowding() -> dict[str, Any]:
    """Return changes that name two teams and leave engines room for one run."""
    plain, engines = build_config()['services']
    engines['engine']['kv_capacity'] = 1500
    return {
        'services': [plain, engines],
        'tenants': [
            {'name': 'club', 'api_keys': [KEY], 'priority': 1},
            {'name': 'other', 'api_keys': ['k2'], 'priority': 1},
        ],
    }


def build_entry(
    service: str,
    address: str,
    state: str = 'ready',
) -> dict[str, Any]:
    """Return the entry that a target writes to the store."""
    return {
        'service': service,
        'address': address,
        'zone': 'luzon-a',
        'version': 'v1',
        'slots': 6,
        'state': state,
        'cold_remaining_ms': 0,
        'sequence': 1,
    }


def _build_route(
    prefix: str,
    kind: str,
    service: str,
    attempts: int,
) -> dict[str, Any]:
    return {
        'name': prefix,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout_ms': 5000,
        'target_latency_ms': 1000,
        'priority': 1,
        'service': service,
        'max_attempts': attempts,
    }
