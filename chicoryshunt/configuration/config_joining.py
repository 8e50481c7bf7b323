"""The wait for peers of a node that has no configuration yet."""

from math import inf

from chicoryshunt.configuration.configuration import Configuration
from chicoryshunt.events import log_event, log_problem
from chicoryshunt.version.replica import Replica

JOIN_SECONDS = 3.0
MAX_JOIN_SECONDS = 10.0
OFFER_SECONDS = 2.0


class Joining:
    """Holds what the service says until peers had time to say more."""

    def __init__(self, configuration: Configuration) -> None:
        """Wait from the first tick on."""
        self.candidate = Replica()
        self._configuration = configuration
        self._started: float | None = None
        self._offered = -inf
        self._is_reported = False

    @property
    def is_joining(self) -> bool:
        """Say whether this node has no configuration in force."""
        return self._configuration.current is None

    def record_offer(self, now: float) -> None:
        """Remember that a peer has a configuration for this node."""
        self._offered = now

    def tick(self, now: float) -> None:
        """Start from the service once peers had their time."""
        if self._started is None:
            self._started = now
        waited = now - self._started
        if not self.is_joining or waited < JOIN_SECONDS:
            return
        if waited < MAX_JOIN_SECONDS and now - self._offered < OFFER_SECONDS:
            return
        if self.candidate.config is None:
            self._report_missing(waited)
            return
        log_event('config_from_service', waited=waited)
        self._configuration.start_from(self.candidate)

    def _report_missing(self, waited: float) -> None:
        if not self._is_reported:
            log_problem('config_missing', waited=waited)
        self._is_reported = True
