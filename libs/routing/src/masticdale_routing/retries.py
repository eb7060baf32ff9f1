"""When a failed call is sent again, and when a replica gets no calls.

Exactly one layer retries: the owner of the program. Retries of several layers
multiply, and an upstream that is short of capacity then gets more load.
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
    """Limits of retries towards one upstream.

    Attributes:
        share: Retries allowed for each first send.
        burst: Retries saved up at most; also there at the start.
        max_attempts: Sends of one call, the first included.
        base_delay_s: Delay before the first retry; doubles each time.
    """

    retry_ratio: float = 0.1
    burst: float = 10.0
    max_attempts: int = 3
    base_delay_s: float = 0.05


class RetryBudget:
    """Retries of one upstream, as a share of its first sends."""

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._tokens = settings.burst

    @property
    def settings(self) -> RetrySettings:
        """The limits."""
        return self._settings

    @property
    def available(self) -> float:
        """Retries that may be sent at present."""
        return self._tokens

    def record_first_attempt(self) -> None:
        """Notes the first send of a call."""
        settings = self._settings
        self._tokens = min(settings.burst, self._tokens + settings.retry_ratio)

    def try_acquire(self) -> bool:
        """Takes one retry; False when none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAfter:
    """Send the call again.

    Attributes:
        delay_s: After this delay.
    """

    delay_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller now.

    Attributes:
        failure: The final answer.
    """

    failure: Failure


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A send that failed.

    Attributes:
        failure: What it failed with.
        attempts: Sends so far, this one included.
        deadline_at: After this the answer is worthless.
    """

    failure: Failure
    attempts: int
    deadline_at: float


def decide_retry(
    attempt: FailedAttempt, budget: RetryBudget, now: float
) -> RetryAfter | GiveUp:
    """Decides what follows a failed send of a repeatable call.

    Args:
        attempt: The failed send.
        budget: The upstream's budget; a retry is taken from it.
        now: Present time.

    Returns:
        When to send again, or the final answer, which is due at once.
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
    """Whether a replica gets calls."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclasses.dataclass(frozen=True, slots=True)
class CircuitBreakerSettings:
    """When a circuit opens and closes.

    Attributes:
        failures_to_open: Consecutive failures that open it.
        first_open_s: How long it stays open first; doubles each time.
        longest_open_s: Bound of the doubling.
    """

    failures_to_open: int = 3
    initial_open_s: float = 1.0
    max_open_s: float = 30.0


class CircuitBreaker:
    """Keeps calls from a replica that fails, and probes it with one call."""

    def __init__(self, settings: CircuitBreakerSettings | None = None) -> None:
        self._settings = settings or CircuitBreakerSettings()
        self._consecutive_failures = 0
        self._open_s = self._settings.initial_open_s
        self._open_until: float | None = None
        self._probe_until: float | None = None

    def state(self, now: float) -> CircuitState:
        """Returns the present state."""
        if self._open_until is None:
            return CircuitState.CLOSED
        if now < self._open_until:
            return CircuitState.OPEN
        return CircuitState.HALF_OPEN

    def allows(self, now: float) -> bool:
        """Returns whether a call would be allowed; takes nothing."""
        state = self.state(now)
        if state is CircuitState.CLOSED:
            return True
        probing = self._probe_until is not None and now < self._probe_until
        return state is CircuitState.HALF_OPEN and not probing

    def try_acquire(self, now: float) -> bool:
        """Takes permission for a call; half open, only one has it at a time.

        Returns:
            Whether the call may be sent.
        """
        if not self.allows(now):
            return False
        if self.state(now) is CircuitState.HALF_OPEN:
            # The probe's end may never be told, as when its host dies; its
            # permission lapses, or the replica would stay shut out.
            self._probe_until = now + _PROBE_LEASE_S
        return True

    def record_success(self) -> None:
        """Notes a call that the replica served."""
        self._consecutive_failures = 0
        self._open_s = self._settings.initial_open_s
        self._open_until = None
        self._probe_until = None

    def record_failure(self, now: float) -> None:
        """Notes a call that failed for the replica's sake."""
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
