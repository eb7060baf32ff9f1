"""Unary calls that wait at this host until a replica may have a free slot.

Only calls to services whose replicas report their momentary slowdown wait.
"""

import asyncio
import dataclasses
import itertools

from returns.result import Failure as Failed

from masticdale_common import Failure, Metrics, logs
from masticdale_gateway.calls import Call
from masticdale_routing.call_queues import (
    CallQueue,
    CallQueueSettings,
    WaitingCall,
    refusal,
)
from masticdale_routing.fleet import Fleet

# Shortest time between two calls that are sent on, in seconds, unless one of
# this host completes. A refusal takes about one round trip, 2 to 5 ms, and the
# next call should know of it.
_SPACING_S = 0.01
# Longest time until a queue is looked at again, in seconds.
_MAX_PAUSE_S = 0.1


@dataclasses.dataclass(slots=True)
class CallWait:
    """How a call has waited.

    Attributes:
        waiting: Its place in the queue; None if it has not waited.
        waited_s: Time for which it has waited.
        rounds: How often it was sent on.
        full_replicas: Replicas known to be full when it began to wait.
        outcome: What came of it, for the log.
    """

    waiting: WaitingCall | None = None
    waited_s: float = 0.0
    rounds: int = 0
    full_replicas: int = 0
    outcome: str = "cancelled"


class _ServiceQueue:
    """Waiting calls of one service, and what wakes them."""

    def __init__(self, settings: CallQueueSettings) -> None:
        self.queue = CallQueue(settings)
        self.released_by_number: dict[int, asyncio.Future[None]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.next_release_at = 0.0


class WaitingCalls:
    """Lets calls wait while every replica of their service is full."""

    def __init__(
        self,
        fleet: Fleet,
        metrics: Metrics,
        settings: CallQueueSettings | None = None,
    ) -> None:
        self._fleet = fleet
        self._metrics = metrics
        self._settings = settings or CallQueueSettings()
        self._queue_by_service: dict[str, _ServiceQueue] = {}
        self._numbers = itertools.count(1)

    def count_by_service(self) -> dict[str, int]:
        """Returns the number of waiting calls of each service."""
        return {
            service: len(line.queue)
            for service, line in self._queue_by_service.items()
        }

    def may_wait(self, call: Call) -> bool:
        """Returns whether calls to the call's service wait at this host."""
        return self._fleet.reports_slowdown(call.service.name)

    def must_wait(self, call: Call) -> bool:
        """Returns whether a new call must wait before its first attempt.

        Either all usable replicas are known to be full, or other calls wait.
        """
        service = call.service.name
        if not self._fleet.reports_slowdown(service):
            return False
        room_in_s = self._fleet.room_in_s(service, _now())
        if room_in_s is None:
            return False
        line = self._queue_by_service.get(service)
        return room_in_s > 0 or bool(line and line.queue)

    async def wait(self, call: Call, wait: CallWait) -> Failure | None:
        """Waits until a replica of the call's service may have a free slot.

        Args:
            call: The call; replicas have refused it, or were not given it.
            wait: How it has waited before; updated.

        Returns:
            None if it should be sent now. NO_UPSTREAM if it can't be served
            before its deadline; its retry time follows the expected wait.
        """
        service = call.service.name
        line = self._queue_by_service.get(service)
        if line is None:
            line = _ServiceQueue(self._settings)
            self._queue_by_service[service] = line
        now = _now()
        if wait.waiting is None:
            waiting = self._create(call, now)
            best_rate = self._best_rate_per_s(call)
            offered = line.queue.offer(waiting, now, best_rate)
            if isinstance(offered, Failed):
                return self._refuse(call, offered.failure())
            wait.waiting = waiting
            wait.full_replicas = self._fleet.count_full(service, now)
        else:
            line.queue.put_back(wait.waiting, now)
        return await self._wait_released(call, line, wait.waiting, wait)

    def refuse_if_late(self, call: Call) -> Failure | None:
        """Refuses a call that would wait too long in a replica's own queue.

        Returns:
            NO_UPSTREAM, with the expected wait as retry time; None if it may
            be sent.
        """
        service = call.service.name
        if not self._fleet.reports_slowdown(service):
            return None
        queue_s = self._fleet.shortest_queue_s(service, _now())
        if queue_s < call.remaining_s:
            return None
        detail = f"queue of {queue_s:.3f} s, {call.remaining_s:.3f} s left"
        return self._refuse(call, refusal(queue_s, detail))

    def record_end(self, service: str, *, is_complete: bool) -> None:
        """Records the end of an attempt, after which a slot may be free.

        Args:
            service: Name of the service.
            is_complete: Whether a replica has completed the call.
        """
        line = self._queue_by_service.get(service)
        if line is None:
            return
        if is_complete:
            line.queue.record_completion(_now())
            line.next_release_at = 0.0
        if line.queue:
            self._schedule(service, line)

    def log(self, call: Call, wait: CallWait) -> None:
        """Logs how a call has waited, if it has."""
        if wait.waiting is None:
            return
        self._metrics.observe(
            "call_wait_seconds", wait.waited_s, service=call.service.name
        )
        logs.write_bounded(
            "call_waited",
            request_id=call.metadata.request_id,
            service=call.service.name,
            full_replicas=wait.full_replicas,
            rounds=wait.rounds,
            waited_ms=round(1000 * wait.waited_s, 1),
            outcome=wait.outcome,
        )

    async def _wait_released(
        self,
        call: Call,
        line: _ServiceQueue,
        waiting: WaitingCall,
        wait: CallWait,
    ) -> Failure | None:
        service = call.service.name
        loop = asyncio.get_running_loop()
        released: asyncio.Future[None] = loop.create_future()
        line.released_by_number[waiting.number] = released
        self._count(service, line)
        began_at = loop.time()
        self._schedule(service, line)
        try:
            async with asyncio.timeout_at(waiting.latest_start_at):
                await released
        except TimeoutError:
            wait.outcome = "expired"
            waited_s = wait.waited_s + loop.time() - began_at
            expected_s = line.queue.expected_wait_s(
                loop.time(), self._best_rate_per_s(call)
            )
            self._metrics.count(
                "calls_refused_total", service=service, reason="expired"
            )
            return refusal(
                max(expected_s, waited_s),
                f"every replica was full for {waited_s:.3f} s",
            )
        finally:
            wait.waited_s += loop.time() - began_at
            del line.released_by_number[waiting.number]
            line.queue.remove(waiting.number, loop.time())
            self._count(service, line)
        wait.rounds += 1
        return self.refuse_if_late(call)

    def _create(self, call: Call, now: float) -> WaitingCall:
        deadline_at = call.deadline_at
        finish_s = call.metadata.finish_s
        return WaitingCall(
            number=next(self._numbers),
            program_id=call.metadata.program_id,
            rank=call.route.priority,
            queued_at=now,
            deadline_at=deadline_at,
            finish_at=(
                deadline_at
                if finish_s is None
                else call.request.received_at + finish_s
            ),
            expected_s=self._expected_s(call),
            size_bytes=len(call.request.body),
        )

    def _refuse(self, call: Call, failure: Failure) -> Failure:
        service = call.service.name
        line = self._queue_by_service.get(service)
        self._metrics.count(
            "calls_refused_total", service=service, reason="at_once"
        )
        logs.write_bounded(
            "call_refused",
            request_id=call.metadata.request_id,
            program_id=call.metadata.program_id,
            service=service,
            full_replicas=self._fleet.count_full(service, _now()),
            waiting=len(line.queue) if line else 0,
            left_ms=round(1000 * call.remaining_s, 1),
            expected_ms=round(1000 * self._expected_s(call), 1),
            retry_after_ms=failure.effective_retry_after_ms,
            detail=failure.detail,
        )
        return failure

    def _schedule(self, service: str, line: _ServiceQueue) -> None:
        """Sets the time at which the next call may be sent on."""
        if line.timer is not None:
            line.timer.cancel()
        now = _now()
        room_in_s = self._fleet.room_in_s(service, now)
        pause_s = _MAX_PAUSE_S if room_in_s is None else room_in_s
        pause_s = max(min(_MAX_PAUSE_S, pause_s), line.next_release_at - now)
        line.timer = asyncio.get_running_loop().call_later(
            max(0.0, pause_s), self._release, service, line
        )

    def _release(self, service: str, line: _ServiceQueue) -> None:
        line.timer = None
        now = _now()
        head = line.queue.head(now)
        if head is None:
            return
        if self._fleet.room_in_s(service, now) == 0:
            line.queue.remove(head.number, now)
            released = line.released_by_number[head.number]
            if not released.done():
                released.set_result(None)
            line.next_release_at = now + _SPACING_S
        if line.queue:
            self._schedule(service, line)

    def _expected_s(self, call: Call) -> float:
        return self._fleet.expected_call_s(call.service.name, call.route.name)

    def _best_rate_per_s(self, call: Call) -> float:
        expected_s = self._expected_s(call)
        if expected_s <= 0:
            return 0.0
        return self._fleet.count_slots(call.service.name) / expected_s

    def _count(self, service: str, line: _ServiceQueue) -> None:
        self._metrics.gauge("waiting_calls", len(line.queue), service=service)


def _now() -> float:
    return asyncio.get_running_loop().time()
