"""Order and admission of unary calls that wait for a free slot.

Calls are served by the rank of their route, then by slack. A call that has
waited for half of the time that it can wait precedes all others, in the order
in which that happened, so that none starves. The calls of a program that sends
many in a short time lose ranks, and have to wait longer before they precede.
"""

import collections
import dataclasses

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure

# Share of the time that a call can wait after which it precedes all others, and
# the bound of that time in seconds.
_PATIENCE_SHARE = 0.5
_MAX_PATIENCE_S = 2.0
# Time left for the response when a call is sent at the last moment: its usual
# duration, but at least the first time, in seconds, and at most the second
# share of the time that it had on arrival.
_MIN_RESERVE_S = 0.03
_MAX_RESERVE_SHARE = 0.5
# Calls of one program within a window that cost it no rank; each doubling
# costs one. Agents send a handful of calls between two turns.
_FREE_CALLS = 8
_WINDOW_S = 5.0
# Completions older than this say nothing about the present rate, in seconds.
_RATE_WINDOW_S = 3.0
_MAX_COMPLETIONS = 256
# Calls must have waited for this long, in seconds, before the rate counts. A
# short time without a completion says little.
_MIN_RATE_WINDOW_S = 1.0
# A queue that is empty for less than this, in seconds, counts as one: a call
# that is sent and refused leaves it for a moment.
_MAX_GAP_S = 0.2
# A call is refused if its expected wait exceeds the time that it can wait by
# this factor. The rate of one host varies, as others compete for the slots, and
# a refusal may end a program.
_REFUSAL_FACTOR = 2.0
# Bounds of the time after which a refused caller may retry, in seconds.
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallQueueSettings:
    """Bounds of one queue.

    Attributes:
        max_calls: Maximum number of waiting calls.
        max_bytes: Maximum size of their bodies together.
        max_program_calls: Maximum number of waiting calls of one program.
    """

    max_calls: int = 256
    max_bytes: int = 4 << 20
    max_program_calls: int = 16


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call that waits. Times are event loop times in seconds.

    Attributes:
        number: Identifies the call in its queue; increases with each call.
        program_id: Its program; empty for none.
        rank: Priority class of its route; 0 is the most urgent.
        queued_at: When it began to wait.
        deadline_at: When its caller gives up.
        finish_at: When its program has to finish, or else ``deadline_at``.
        expected_s: Usual duration of such a call; 0 if unknown.
        size_bytes: Size of its body.
    """

    number: int
    program_id: str
    rank: int
    queued_at: float
    deadline_at: float
    finish_at: float
    expected_s: float = 0.0
    size_bytes: int = 0

    @property
    def latest_start_at(self) -> float:
        """When it must be sent at the latest to be served in time."""
        total_s = max(0.0, self.deadline_at - self.queued_at)
        reserve_s = max(
            _MIN_RESERVE_S, min(self.expected_s, _MAX_RESERVE_SHARE * total_s)
        )
        return self.deadline_at - reserve_s

    @property
    def slack_end_at(self) -> float:
        """When it must be sent at the latest for its program's sake."""
        return self.finish_at - self.expected_s


_Key = tuple[float, float, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    call: WaitingCall
    lost_ranks: int

    def urgent_at(self) -> float:
        """Returns when it begins to precede calls that have waited less."""
        call = self.call
        waitable_s = max(0.0, call.latest_start_at - call.queued_at)
        patience_s = min(_MAX_PATIENCE_S, _PATIENCE_SHARE * waitable_s)
        patience_s = min(waitable_s, patience_s * (1 + self.lost_ranks))
        return call.queued_at + patience_s

    def key(self, now: float) -> _Key:
        """Returns the key by which the calls are served, lowest first."""
        urgent_at = self.urgent_at()
        call = self.call
        if now >= urgent_at:
            return (float("-inf"), urgent_at, call.number)
        return (call.rank + self.lost_ranks, call.slack_end_at, call.number)


class CallQueue:
    """The waiting calls of one service at one host."""

    def __init__(self, settings: CallQueueSettings | None = None) -> None:
        self._settings = settings or CallQueueSettings()
        self._entry_by_number: dict[int, _Entry] = {}
        self._bytes = 0
        self._recent_calls = _RecentCalls()
        self._rate = _CompletionRate()

    def __len__(self) -> int:
        return len(self._entry_by_number)

    def offer(
        self, call: WaitingCall, now: float, best_rate_per_s: float
    ) -> Result[None, Failure]:
        """Adds a call, unless it certainly can't be served in time.

        Args:
            call: The call.
            now: Event loop time in seconds.
            best_rate_per_s: Calls per second that all slots of the service can
                serve; used until the rate for this host is known; 0 if unknown.

        Returns:
            NO_UPSTREAM, with a retry time that follows the expected wait, if
            the queue is full or the wait would be too long.
        """
        entry = self._entry(call, now)
        wait_s = self._wait_s(entry.key(now), now, best_rate_per_s)
        left_s = call.latest_start_at - now
        reason = self._full_reason(call)
        if not reason and (left_s <= 0 or wait_s > _REFUSAL_FACTOR * left_s):
            reason = f"expected wait {wait_s:.3f} s, {left_s:.3f} s left"
        if reason:
            detail = f"{reason}, {len(self)} calls wait"
            return Failed(refusal(wait_s, detail))
        self._recent_calls.add(call.program_id, now)
        self._put(entry, now)
        return Success(None)

    def put_back(self, call: WaitingCall, now: float) -> None:
        """Adds a call again that a replica has refused; it keeps its place.

        It was admitted once, so that it is not refused for its wait.
        """
        self._put(self._entry(call, now), now)

    def remove(self, number: int, now: float) -> WaitingCall | None:
        """Removes and returns a call; None if it does not wait."""
        entry = self._entry_by_number.pop(number, None)
        if entry is None:
            return None
        self._bytes -= entry.call.size_bytes
        if not self._entry_by_number:
            self._rate.end(now)
        return entry.call

    def head(self, now: float) -> WaitingCall | None:
        """Returns the call to serve next; None if none waits."""
        entries = self._entry_by_number.values()
        first = min(entries, key=lambda entry: entry.key(now), default=None)
        return first.call if first else None

    def record_completion(self, now: float) -> None:
        """Records that a call of this host to the service was completed."""
        self._rate.add(now)

    def expected_wait_s(self, now: float, best_rate_per_s: float) -> float:
        """Returns the wait of a call that all others precede, in seconds."""
        return self._wait_s((float("inf"), 0.0, 0), now, best_rate_per_s)

    def _entry(self, call: WaitingCall, now: float) -> _Entry:
        return _Entry(call, self._recent_calls.excess(call.program_id, now))

    def _put(self, entry: _Entry, now: float) -> None:
        if not self._entry_by_number:
            self._rate.begin(now)
        self._entry_by_number[entry.call.number] = entry
        self._bytes += entry.call.size_bytes

    def _full_reason(self, call: WaitingCall) -> str:
        settings = self._settings
        if len(self) >= settings.max_calls:
            return "too many calls wait"
        if self._bytes + call.size_bytes > settings.max_bytes:
            return "the waiting calls are too large"
        if not call.program_id:
            return ""
        own = sum(
            entry.call.program_id == call.program_id
            for entry in self._entry_by_number.values()
        )
        if own >= settings.max_program_calls:
            return "too many calls of the program wait"
        return ""

    def _wait_s(self, key: _Key, now: float, best_rate_per_s: float) -> float:
        rate_per_s = self._rate.per_s(now) or best_rate_per_s
        if rate_per_s <= 0:
            return 0.0
        entries = self._entry_by_number.values()
        ahead = sum(entry.key(now) < key for entry in entries)
        return (ahead + 1) / rate_per_s


class _RecentCalls:
    """Number of calls that programs have queued lately."""

    def __init__(self) -> None:
        self._began_at = 0.0
        self._count_by_program: collections.Counter[str] = collections.Counter()
        self._count_before_by_program: collections.Counter[str] = (
            collections.Counter()
        )

    def add(self, program_id: str, now: float) -> None:
        if program_id:
            self._advance(now)
            self._count_by_program[program_id] += 1

    def excess(self, program_id: str, now: float) -> int:
        """Returns the ranks that a program has lost."""
        self._advance(now)
        count = max(
            self._count_by_program[program_id],
            self._count_before_by_program[program_id],
        )
        return (count // _FREE_CALLS).bit_length()

    def _advance(self, now: float) -> None:
        age_s = now - self._began_at
        if age_s < _WINDOW_S:
            return
        # Programs that have been silent for two windows are forgotten.
        self._count_before_by_program = (
            self._count_by_program
            if age_s < 2 * _WINDOW_S
            else collections.Counter()
        )
        self._count_by_program = collections.Counter()
        self._began_at = now


class _CompletionRate:
    """Rate of completed calls while others wait.

    Without waiting calls it would be the demand.
    """

    def __init__(self) -> None:
        self._began_at = 0.0
        # When the last call left the queue; infinite while one waits.
        self._ended_at = float("-inf")
        self._completed_at: collections.deque[float] = collections.deque(
            maxlen=_MAX_COMPLETIONS
        )

    def begin(self, now: float) -> None:
        """Begins a period in which calls wait, or continues the last one."""
        if not self._is_known(now):
            self._began_at = now
            self._completed_at.clear()
        self._ended_at = float("inf")

    def end(self, now: float) -> None:
        """Ends the period, unless another call waits soon."""
        self._ended_at = now

    def add(self, now: float) -> None:
        """Records a completed call."""
        if self._is_known(now):
            self._completed_at.append(now)

    def per_s(self, now: float) -> float:
        """Returns the rate; 0 if it is unknown."""
        window_s = min(_RATE_WINDOW_S, now - self._began_at)
        if not self._is_known(now) or window_s < _MIN_RATE_WINDOW_S:
            return 0.0
        while self._completed_at and now - self._completed_at[0] > window_s:
            self._completed_at.popleft()
        # One more is about to complete: a rate of 0 would refuse every call.
        return (len(self._completed_at) + 1) / window_s

    def _is_known(self, now: float) -> bool:
        return now - self._ended_at < _MAX_GAP_S


def refusal(wait_s: float, detail: str) -> Failure:
    """Returns the failure of a call that was not sent, as none had room.

    Args:
        wait_s: Expected wait, which the retry time follows, in seconds.
        detail: Why it is refused.
    """
    retry_after_s = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))
    return Failure(
        ErrorKind.NO_UPSTREAM,
        detail,
        retry_after_ms=round(1000 * retry_after_s),
    )
