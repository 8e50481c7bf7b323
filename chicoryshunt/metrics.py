"""Metrics of the process, in the Prometheus format."""

from typing import Any, TypeVar, cast

from aioprometheus.collectors import (
    Collector,
    Counter,
    Gauge,
    Histogram,
    Registry,
)
from aioprometheus.renderer import render

# Bounds of latency buckets in seconds, from a quick call to a long stream.
_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 25, 60)
_Collector = TypeVar('_Collector', bound=Collector)


class Metrics:
    """Creates collectors once each and renders them all."""

    def __init__(self) -> None:
        """Start with an empty registry."""
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
        """Count a reading in a histogram; seconds, in the usual buckets."""
        collector = self._get(Histogram, name, doc, buckets=_BUCKETS)
        collector.observe(labels, reading)

    def get(self, name: str, **labels: str) -> float:
        """Return the reading of a counter or gauge, 0 when never set."""
        collector = self._collectors.get(name)
        if collector is None:
            return 0
        try:
            return float(cast(float, collector.get(labels)))
        except KeyError:
            return 0

    def render(self) -> bytes:
        """Return the exposition in the Prometheus text format."""
        body, _ = render(self._registry, ['text/plain'])
        return bytes(body)

    def _get(
        self,
        kind: type[_Collector],
        name: str,
        doc: str,
        suffix: str = '',
        **options: Any,
    ) -> _Collector:
        """Return the collector of a name, made when it is first used."""
        collector = self._collectors.get(name)
        if not isinstance(collector, kind):
            collector = kind(
                f'chicoryshunt_{name}{suffix}',
                doc,
                registry=self._registry,
                **options,
            )
            self._collectors[name] = collector
        return collector
