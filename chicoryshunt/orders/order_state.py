"""State of the reconciliation of one target with its declared state."""

from dataclasses import dataclass

from chicoryshunt.connection.target_api import LoadReport, Order
from chicoryshunt.version.config import DesiredState

CHECK_SECONDS = 5.0
RETRY_SECONDS = 1.0
LOAD_SECONDS = 120.0
GIVE_UP_SECONDS = 30.0
FENCE_STRIDE = 1024


@dataclass(frozen=True, slots=True)
class Pending:
    """An order that a target may be carrying out until a time."""

    order: Order
    start: int
    until: float

    @property
    def desired(self) -> DesiredState:
        """Return the state of the target once the order is carried out."""
        order = self.order
        return DesiredState(order.model_version, order.adapters, order.role)

    def is_over(self, report: LoadReport, now: float) -> bool:
        """Say whether the order was carried out, lost or too slow."""
        return (
            now >= self.until
            or report.start != self.start
            or matches_desired(self.desired, report)
        )


@dataclass(slots=True)
class FenceCounter:
    """Tracks the highest known fencing number of one target."""

    highest: int = 0

    def record(self, fence: int) -> None:
        """Record a number that was seen."""
        self.highest = max(self.highest, fence)

    def build_next(self, rank: int) -> int:
        """Return a number above all seen that no other node returns."""
        above = self.highest // FENCE_STRIDE + 1
        self.highest = above * FENCE_STRIDE + rank
        return self.highest


@dataclass(slots=True)
class OrderState:
    """Tracks the orders of one kept target; times are monotonic."""

    fences: FenceCounter
    settled_at: float
    due: float
    is_busy: bool = False
    number: int = 0
    report_start: int = 0
    pending: Pending | None = None

    def start(self, number: int, now: float) -> None:
        """Start a read or an order; retry if no answer comes in time."""
        self.is_busy = True
        self.number = number
        self.due = now + GIVE_UP_SECONDS

    def wait(self, until: float) -> None:
        """Wait until a time, then read again."""
        self.is_busy = False
        self.due = until

    def check_now(self, now: float) -> None:
        """Read at once unless a read or an order is in flight."""
        if not self.is_busy:
            self.due = min(self.due, now)

    def record_report(self, report: LoadReport, now: float) -> None:
        """Record a load report of the target."""
        self.fences.record(report.fence)
        self.report_start = report.start
        if self.pending is not None and self.pending.is_over(report, now):
            self.pending = None

    def record_pending(self, order: Order, now: float) -> None:
        """Record an order that the target has or may have received."""
        self.fences.record(order.fence)
        self.pending = Pending(order, self.report_start, now + LOAD_SECONDS)


def holds_weights(desired: DesiredState, report: LoadReport) -> bool:
    """Say whether a target holds the wanted model version and adapters."""
    return report.model_version == desired.model_version and set(
        report.adapters,
    ) == set(desired.adapters)


def matches_desired(desired: DesiredState, report: LoadReport) -> bool:
    """Say whether a target is in the state that operators declare."""
    return holds_weights(desired, report) and report.role == desired.role
