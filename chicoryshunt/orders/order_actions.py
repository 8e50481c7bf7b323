"""Actions that the orders core returns to its runner."""

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
    """Send an order to a target, unless it is obsolete by then."""

    target: TargetId
    address: str
    number: int
    order: Order


Action: TypeAlias = ReadLoad | SendOrder
