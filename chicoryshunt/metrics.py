"""Metrics of the process, rendered in the Prometheus text format."""

from typing import Any, TypeVar, cast

from aioprometheus.collectors import (
    Collector,
    Counter,
    Gauge,
    Histogram,
    Registry,
)
from aioprometheus.renderer import render

# Upper bounds of the latency buckets in seconds; they cover both short calls
# and long streams.
_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 25, 60)
_Collector = TypeVar('_Collector', bound=Collector)


class Metrics:
    """Registry that creates each collector when it is first used."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._registry = Registry()
        self._collectors: dict[str, Collector] = {}

    def count(self, name: str, doc: str, **labels: str) -> None:
        """Add one to a counter."""
        self.add(name, doc, 1, **labels)

    def add(self, name: str, doc: str, amount: float, **labels: str) -> None:
        """Add an amount to a counter."""
        self._get(Counter, name, doc, '_total').add(labels, amount)

    def set_gauge(
        self,
        name: str,
        doc: str,
        reading: float,
        **labels: str,
    ) -> None:
        """Set a gauge."""
        self._get(Gauge, name, doc).set(labels, reading)

    def observe(
        self,
        name: str,
        doc: str,
        reading: float,
        **labels: str,
    ) -> None:
        """Add a reading in seconds to a histogram."""
        collector = self._get(Histogram, name, doc, buckets=_BUCKETS)
        collector.observe(labels, reading)

    def get(self, name: str, **labels: str) -> float:
        """Return the value of a counter or gauge, 0 if it was never set."""
        collector = self._collectors.get(name)
        if collector is None:
            return 0
        try:
            return float(cast(float, collector.get(labels)))
        except KeyError:
            return 0

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        body, _ = render(self._registry, ['text/plain'])
        return bytes(body)

    def _get(
        self,
        collector_type: type[_Collector],
        name: str,
        doc: str,
        suffix: str = '',
        **options: Any,
    ) -> _Collector:
        """Return the collector of a name, creating it on first use."""
        collector = self._collectors.get(name)
        if not isinstance(collector, collector_type):
            collector = collector_type(
                f'chicoryshunt_{name}{suffix}',
                doc,
                registry=self._registry,
                **options,
            )
            self._collectors[name] = collector
        return collector
