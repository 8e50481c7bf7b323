"""IP addresses with ports."""

import ipaddress
import re
from typing import NamedTuple

MAX_PORT = 65535
_PORT = re.compile('[0-9]{1,5}')


class Address(NamedTuple):
    """IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return host:port."""
        return f'{self.host}:{self.port}'


def is_ip_number(host: str) -> bool:
    """Return whether the text is an IPv4 or IPv6 address."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def is_address(text: str) -> bool:
    """Return whether the text has the form ``host:port``.

    The host must be an IP address; names are not accepted.
    """
    host, _, port = text.rpartition(':')
    return (
        is_ip_number(host)
        and _PORT.fullmatch(port) is not None
        and int(port) <= MAX_PORT
    )
