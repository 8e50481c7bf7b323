"""What the orders core asks its shell to do."""

from dataclasses import dataclass
from typing import TypeAlias

from chicoryshunt.connection.target_api import Order
from chicoryshunt.types import TargetId


@dataclass(frozen=True, slots=True)
class ReadLoad:
    """Read the load report of a target."""

    target: TargetId
    address: str
    number: int


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to a target, if it is still wanted."""

    target: TargetId
    address: str
    number: int
    order: Order


Action: TypeAlias = ReadLoad | SendOrder
