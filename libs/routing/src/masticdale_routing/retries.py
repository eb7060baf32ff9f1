"""Retry budgets and circuit breakers.

Only the owner of a program retries its calls. Retries at several layers would
multiply and overload an upstream that is short of capacity.
"""

import dataclasses
import enum

from masticdale_common import ErrorKind, Failure

_RETRIABLE = frozenset(
    {ErrorKind.NO_UPSTREAM, ErrorKind.UPSTREAM_FAILED, ErrorKind.OVERLOADED}
)
_PROBE_LEASE_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySettings:
    """Limits of the retries to one upstream.

    Attributes:
        retry_ratio: Retries allowed for each first attempt.
        burst: Maximum and initial balance of the budget, in retries.
        max_attempts: Maximum attempts of a call, including the first.
        base_delay_s: Delay before the first retry; doubles with each retry.
    """

    retry_ratio: float = 0.1
    burst: float = 10.0
    max_attempts: int = 3
    base_delay_s: float = 0.05


class RetryBudget:
    """Limits retries to one upstream to a ratio of its first attempts."""

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._tokens = settings.burst

    @property
    def settings(self) -> RetrySettings:
        """Limits of the budget."""
        return self._settings

    @property
    def available(self) -> float:
        """Retries that the budget currently allows."""
        return self._tokens

    def record_first_attempt(self) -> None:
        """Records the first attempt of a call."""
        settings = self._settings
        self._tokens = min(settings.burst, self._tokens + settings.retry_ratio)

    def try_acquire(self) -> bool:
        """Takes one retry; returns False if none is available."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAfter:
    """Retry the call.

    Attributes:
        delay_s: Delay before the retry.
    """

    delay_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Do not retry; return the failure to the caller.

    Attributes:
        failure: The failure to return.
    """

    failure: Failure


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A failed attempt at a call.

    Attributes:
        failure: The failure.
        attempts: Attempts so far, including this one.
        deadline_at: Deadline of the call, in seconds.
    """

    failure: Failure
    attempts: int
    deadline_at: float


def decide_retry(
    attempt: FailedAttempt, budget: RetryBudget, now: float
) -> RetryAfter | GiveUp:
    """Decides whether to retry a call that may be repeated.

    Args:
        attempt: The failed attempt.
        budget: The upstream's budget, from which a retry is taken.
        now: Current time in seconds.

    Returns:
        The delay before the retry, or the final failure.
    """
    settings = budget.settings
    if attempt.failure.kind not in _RETRIABLE:
        return GiveUp(attempt.failure)
    if attempt.attempts >= settings.max_attempts:
        return GiveUp(attempt.failure)
    delay_s = settings.base_delay_s * 2 ** (attempt.attempts - 1)
    if now + delay_s >= attempt.deadline_at:
        return GiveUp(attempt.failure)
    if not budget.try_acquire():
        return GiveUp(attempt.failure)
    return RetryAfter(delay_s)


class CircuitState(enum.StrEnum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclasses.dataclass(frozen=True, slots=True)
class CircuitBreakerSettings:
    """Thresholds of a circuit breaker.

    Attributes:
        failures_to_open: Consecutive failures that open the circuit.
        initial_open_s: Duration of the first open period; doubles each time.
        max_open_s: Upper bound of the doubling.
    """

    failures_to_open: int = 3
    initial_open_s: float = 1.0
    max_open_s: float = 30.0


class CircuitBreaker:
    """Stops calls to a failing replica and probes it with single calls."""

    def __init__(self, settings: CircuitBreakerSettings | None = None) -> None:
        self._settings = settings or CircuitBreakerSettings()
        self._consecutive_failures = 0
        self._open_s = self._settings.initial_open_s
        self._open_until: float | None = None
        self._probe_until: float | None = None

    def state(self, now: float) -> CircuitState:
        """Returns the current state."""
        if self._open_until is None:
            return CircuitState.CLOSED
        if now < self._open_until:
            return CircuitState.OPEN
        return CircuitState.HALF_OPEN

    def allows(self, now: float) -> bool:
        """Returns whether a call would get a permit, without acquiring it."""
        if self._open_until is None:
            return True
        state = self.state(now)
        probing = self._probe_until is not None and now < self._probe_until
        return state is CircuitState.HALF_OPEN and not probing

    def try_acquire(self, now: float) -> bool:
        """Acquires a permit for a call; a half-open circuit has only one.

        Returns:
            Whether the call may be sent.
        """
        if not self.allows(now):
            return False
        if self.state(now) is CircuitState.HALF_OPEN:
            # The outcome of the probe may be lost, for example if its host
            # dies. The permit expires, or the circuit would never close.
            self._probe_until = now + _PROBE_LEASE_S
        return True

    def release(self) -> None:
        """Returns the permit of a call without an outcome.

        For a call that the replica did not execute, or whose caller left: the
        next call may probe a half-open circuit at once.
        """
        self._probe_until = None

    def record_success(self) -> None:
        """Records a successful call."""
        self._consecutive_failures = 0
        self._open_s = self._settings.initial_open_s
        self._open_until = None
        self._probe_until = None

    def record_failure(self, now: float) -> None:
        """Records a call that failed because of the replica."""
        state = self.state(now)
        self._consecutive_failures += 1
        self._probe_until = None
        if state is CircuitState.OPEN:
            return
        if state is CircuitState.HALF_OPEN:
            self._open(now)
            return
        if self._consecutive_failures >= self._settings.failures_to_open:
            self._open(now)

    def _open(self, now: float) -> None:
        self._open_until = now + self._open_s
        self._open_s = min(self._settings.max_open_s, 2 * self._open_s)
