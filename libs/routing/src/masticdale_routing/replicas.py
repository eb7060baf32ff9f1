"""What this host knows of single replicas."""

import dataclasses
import random

from masticdale_routing.failures import ReplicaFailures
from masticdale_routing.fullness import Fullness
from masticdale_routing.retries import CircuitBreaker, CircuitBreakerSettings

# Utilization added to a replica that is still warming up.
_COLD_PENALTY = 0.5
# Reported load older than this, in seconds, is ignored.
_LOAD_REPORT_MAX_AGE_S = 0.5
# A reported slowdown older than this, in seconds, is ignored: it changes many
# times per second.
_SLOWDOWN_MAX_AGE_S = 0.3
# Bounds of a reported slowdown, in percent. A figure of 0 would make a replica
# look infinitely fast.
_MIN_SLOWDOWN_PERCENT = 10
_MAX_SLOWDOWN_PERCENT = 2_000
# For how long a reported queue counts, in seconds. Meanwhile a host has at most
# one call there. If
# each of 50 hosts has one there, a replica of 6 slots has work for about eight
# calls in sequence; more would only make them wait where they are not ordered.
_QUEUE_REPORT_MAX_AGE_S = 2.0
# Time after which a replica that is full with calls of this host alone is
# looked at again, in seconds, unless one of them ends before.
_OWN_CALLS_RECHECK_S = 0.1
_CALL_LEARNING_RATE = 0.2
# Bound of the ratio of a call's time to the mean, so that one that hung does
# not make a queue look long.
_MAX_CALL_RATIO = 4.0
# The open periods are short compared with a replica's restart, so that a
# restarted replica gets requests soon.
_CIRCUIT_SETTINGS = CircuitBreakerSettings(
    failures_to_open=2, initial_open_s=0.5, max_open_s=4.0
)


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """A replica as the platform lists it.

    Attributes:
        id: Changes with each start, unless ``started_at_ms`` changes instead.
        service: Name of its service.
        address: Its IP address.
        port: Its port.
        failure_domain: Its failure domain.
        slots: Requests that it runs concurrently.
        is_draining: Whether it takes no new requests.
        warmup_remaining_ms: Time until it reaches its full speed.
        started_at_ms: Unix time of its start in milliseconds; 0 if unknown.
    """

    id: str
    service: str
    address: str
    port: int
    failure_domain: str
    slots: int
    is_draining: bool
    warmup_remaining_ms: float = 0.0
    started_at_ms: int = 0

    @property
    def incarnation(self) -> str:
        """Identifies one start of the replica; an id may be used again."""
        return f"{self.id}/{self.started_at_ms}"


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that a replica reported with a response.

    Attributes:
        running: Requests in progress.
        waiting: Requests in its queue.
        at: Event loop time of the response, in seconds.
        slowdown_percent: Momentary duration of work on the replica's machine;
            100 is normal, None if unspecified.
    """

    running: int
    waiting: int
    at: float
    slowdown_percent: int | None = None


class ReplicaState:
    """A replica's state as seen by this host's own requests.

    Attributes:
        replica: The latest entry of the platform's list.
        in_flight: Requests of this host in progress at the replica.
        circuit: Its circuit breaker.
        is_listed: Whether the platform's list still has this process.
        reports_slowdown: Whether it has reported a momentary slowdown.
    """

    def __init__(
        self,
        replica: Replica,
        failures: ReplicaFailures | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.replica = replica
        self._failures = failures or ReplicaFailures()
        self.in_flight = 0
        self.circuit = CircuitBreaker(_CIRCUIT_SETTINGS)
        self.is_listed = True
        self.reports_slowdown = False
        self._load: ReportedLoad | None = None
        self._in_flight_at_load = 0
        # Mean time in which it runs a unary call, in seconds; 0 if unknown.
        self._call_s = 0.0
        self._fullness = Fullness(rng)

    @property
    def is_leaving(self) -> bool:
        """Whether the platform has announced the end of this process."""
        return self.replica.is_draining or not self.is_listed

    def record_failure(
        self, now: float, *, is_replica_fault: bool = True
    ) -> None:
        """Records a request that failed at the replica.

        Args:
            now: Event loop time in seconds.
            is_replica_fault: Whether other hosts should learn of it. A request
                that takes longer than its own deadline says nothing about the
                replica; if it counted, all replicas would look alike soon.
        """
        self.circuit.record_failure(now)
        if is_replica_fault:
            self._failures.record(self.replica.id, now)

    def record_load(self, load: ReportedLoad) -> None:
        """Records the latest reported load."""
        self._load = load
        self._in_flight_at_load = self.in_flight
        if load.slowdown_percent is not None:
            self.reports_slowdown = True
        self._fullness.record_report(
            load.running + load.waiting, self._slots, self._call_s, load.at
        )

    def record_refusal(self, now: float) -> None:
        """Records that it refused a call because it is full."""
        self._fullness.record_refusal(now)

    def record_completion(self, duration_s: float) -> float:
        """Records that a unary call of this host has ended there.

        Its slot is free, unless the replica has a queue of its own.

        Args:
            duration_s: Time from the request to the end of the response.

        Returns:
            The time in which the replica has run it, in seconds: without its
            share of the wait in the replica's queue, as far as that is known.
        """
        load = self._load
        busy = load.running + load.waiting if load is not None else 0
        if busy <= self._slots:
            self._fullness.record_completion()
        # Time in the system and in a slot are in the ratio of the requests
        # there and of those that run.
        run_s = duration_s * self._slots / max(self._slots, busy)
        if not self._call_s:
            self._call_s = run_s
        bounded_s = min(run_s, _MAX_CALL_RATIO * self._call_s)
        self._call_s += _CALL_LEARNING_RATE * (bounded_s - self._call_s)
        return run_s

    def full_for_s(self, now: float) -> float:
        """Returns for how long it is believed full; 0 if it may have room."""
        remaining_s = self._fullness.remaining_s(now)
        limit = 1 if self._has_queue(now) else self._slots
        if self.in_flight < limit:
            return remaining_s
        return max(remaining_s, _OWN_CALLS_RECHECK_S)

    def _has_queue(self, now: float) -> bool:
        load = self._load
        return (
            load is not None
            and load.waiting > 0
            and now - load.at < _QUEUE_REPORT_MAX_AGE_S
        )

    def queue_s(self, now: float) -> float:
        """Returns the wait in its queue that its last report predicts.

        The wait decreases from then on. It is forgotten after a time: a figure
        that is wrong would otherwise keep all calls away, and thus be the last.
        """
        load = self._load
        if load is None or not self._has_queue(now):
            return 0.0
        sent_since = max(0, self.in_flight - self._in_flight_at_load)
        busy = load.running + load.waiting + sent_since
        queue_s = (busy - self._slots + 1) / self._slots * self._call_s
        return max(0.0, queue_s - (now - load.at))

    def slowdown(self, now: float) -> float:
        """Returns the factor of its momentary slowdown; 1 if unknown."""
        load = self._load
        if (
            load is None
            or load.slowdown_percent is None
            or now - load.at >= _SLOWDOWN_MAX_AGE_S
        ):
            return 1.0
        percent = max(_MIN_SLOWDOWN_PERCENT, load.slowdown_percent)
        return min(_MAX_SLOWDOWN_PERCENT, percent) / 100

    def utilization(self, now: float) -> float:
        """Returns the estimated share of busy slots; may exceed 1.

        It is based on the larger of this host's requests and the replica's own
        report, if recent, plus a penalty during warm-up.
        """
        busy = self.in_flight
        if (
            self._load is not None
            and now - self._load.at < _LOAD_REPORT_MAX_AGE_S
        ):
            busy = max(busy, self._load.running + self._load.waiting)
        return busy / max(1, self.replica.slots) + self.warmup_penalty

    def requests_per_slot(self, now: float) -> float:
        """Returns the requests before a new one, divided by the slots.

        Unlike ``utilization``, it adds what this host has sent since the last
        report.
        """
        busy = self.in_flight
        if (
            self._load is not None
            and now - self._load.at < _LOAD_REPORT_MAX_AGE_S
        ):
            sent_since = max(0, self.in_flight - self._in_flight_at_load)
            reported = self._load.running + self._load.waiting
            busy = max(busy, reported + sent_since)
        return busy / max(1, self.replica.slots) + self.warmup_penalty

    def is_usable_for(self, service: str, now: float) -> bool:
        """Whether it runs requests of a service and its circuit admits one."""
        replica = self.replica
        return (
            replica.service == service
            and not replica.is_draining
            and self.circuit.allows(now)
        )

    @property
    def _slots(self) -> int:
        return max(1, self.replica.slots)

    @property
    def warmup_penalty(self) -> float:
        """Utilization to add while the replica is warming up, else 0."""
        return _COLD_PENALTY if self.replica.warmup_remaining_ms > 0 else 0.0
