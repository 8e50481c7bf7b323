"""Bodies of requests, as twisted.web writes them."""

from typing import Any

from twisted.internet.defer import succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
class BytesProducer:
    """Producer of a request body that is held in memory.

    It is written at once: ``HTTP11ClientProtocol`` never ends a request whose
    answer is invalid and arrives before the whole request is written.
    """

    def __init__(self, body: bytes) -> None:
        """Produce ``body`` in one write."""
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: Any) -> Any:
        """Write the whole body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing, as the body is already written."""

    def resumeProducing(self) -> None:
        """Do nothing, as the body is already written."""

    def stopProducing(self) -> None:
        """Do nothing, as the body is already written."""
