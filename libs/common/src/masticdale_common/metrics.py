"""Metrics of one process, exposed in the Prometheus text format."""

from aioprometheus import collectors
from aioprometheus.formats import text as text_format

BUCKETS_S = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0]
BUCKETS_S += [2.5, 5.0, 10.0, 30.0, 60.0, 300.0]


class Metrics:
    """Counters, gauges and histograms by name, created on first use."""

    def __init__(self) -> None:
        self._registry = collectors.Registry()
        self._counter_by_name: dict[str, collectors.Counter] = {}
        self._gauge_by_name: dict[str, collectors.Gauge] = {}
        self._histogram_by_name: dict[str, collectors.Histogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds to a counter."""
        counter = self._counter_by_name.get(name)
        if counter is None:
            counter = collectors.Counter(name, name, registry=self._registry)
            self._counter_by_name[name] = counter
        counter.add(labels, amount)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge."""
        gauge = self._gauge_by_name.get(name)
        if gauge is None:
            gauge = collectors.Gauge(name, name, registry=self._registry)
            self._gauge_by_name[name] = gauge
        gauge.set(labels, value)

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Adds a value to a histogram, in the unit that the name ends in."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = collectors.Histogram(
                name, name, registry=self._registry, buckets=BUCKETS_S
            )
            self._histogram_by_name[name] = histogram
        histogram.observe(labels, value)

    def counter_value(self, name: str, **labels: str) -> int:
        """Returns a counter's value, or 0 if it was never incremented."""
        counter = self._counter_by_name.get(name)
        if counter is None:
            return 0
        return int(counter.values.get(labels, 0) or 0)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        rendered: bytes = text_format.TextFormatter().marshall(self._registry)
        return rendered
