"""Holds back requests that crash the replicas that run them."""

import asyncio
import dataclasses
import math
from collections.abc import Coroutine
from typing import Protocol

from masticdale_common import ErrorKind, Failure, Metrics, logs
from masticdale_gateway.calls import Call
from masticdale_gateway.pools import ConnectionPool
from masticdale_routing.crashes import (
    CrashEvidence,
    LostRun,
    LostRuns,
    Suspicion,
)
from masticdale_routing.fleet import ReplicaState

# Time from giving up on a call until its replica is looked at, in seconds; less
# than lost runs are remembered.
_CHECK_DELAY_S = 0.8


class TrialClaims(Protocol):
    """Grants single runs of held contents, one among all hosts."""

    async def claim(self, content: str) -> float:
        """Claims a trial.

        Returns:
            0 if this host may run the content once; else the time in seconds
            after which to claim again.
        """
        ...

    async def withdraw(self, content: str) -> None:
        """Gives back a trial in which the content was not run."""
        ...

    async def end(self, content: str) -> None:
        """Forgets the trials of a content that was run whole."""
        ...


class NoTrials:
    """``TrialClaims`` of a host that shares no evidence with others."""

    # Time after which a caller may ask again, in seconds.
    _RETRY_S = 60.0

    async def claim(self, content: str) -> float:
        """See ``TrialClaims.claim``."""
        del content
        return self._RETRY_S

    async def withdraw(self, content: str) -> None:
        """See ``TrialClaims.withdraw``."""
        del content

    async def end(self, content: str) -> None:
        """See ``TrialClaims.end``."""
        del content


@dataclasses.dataclass(frozen=True, slots=True)
class CrashDependencies:
    """The collaborators of a ``CrashGuard``.

    Attributes:
        evidence: What all hosts know of contents that end replicas.
        trials: Grants single runs of held contents.
    """

    evidence: CrashEvidence = dataclasses.field(default_factory=CrashEvidence)
    trials: TrialClaims = dataclasses.field(default_factory=NoTrials)


class CrashGuard:
    """Finds out which requests end replicas, and holds these back."""

    def __init__(
        self,
        dependencies: CrashDependencies,
        pool: ConnectionPool,
        metrics: Metrics,
    ) -> None:
        self._evidence = dependencies.evidence
        self._trials = dependencies.trials
        self._pool = pool
        self._metrics = metrics
        self._lost = LostRuns()
        self._checked_incarnations: set[str] = set()
        self._next_claim_at_by_content: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def admit(self, call: Call) -> Failure | None:
        """Refuses a call whose content keeps ending replicas.

        Returns:
            The failure, with the time after which the call may be run; None
            if it may be sent to replicas.
        """
        for key, suspicion in self._suspicions(call):
            if not suspicion.is_held:
                continue
            wait_s = await self._claim_trial(call, key, suspicion)
            if wait_s:
                return self._refuse(call, key, suspicion, wait_s)
            call.trial_keys += (key,)
        return None

    def _refuse(
        self, call: Call, key: str, suspicion: Suspicion, wait_s: float
    ) -> Failure:
        self.finish(call)
        logs.write_bounded(
            "suspect_refused",
            request_id=call.metadata.request_id,
            content=key,
            crashes=suspicion.crashes,
            heard_s_ago=round(_now() - suspicion.heard_at, 3),
            wait_s=round(wait_s, 1),
        )
        return Failure(
            ErrorKind.CRASH_SUSPECT,
            f"{suspicion.crashes} replicas ended while they ran it",
            retry_after_ms=math.ceil(1000 * wait_s),
        )

    def suspected_keys(self, call: Call) -> tuple[str, ...]:
        """Returns the keys of a call under which a replica has ended."""
        return tuple(key for key, _ in self._suspicions(call))

    def isolation_key(self, call: Call) -> str:
        """Returns the key that selects the replica of a suspected content.

        Empty if the content is not suspected. All copies of a content then run
        at one replica, so that they end one and not all of a service at once,
        and contents that are suspected for the same crash run apart.
        """
        if not self._evidence.has_suspects:
            return ""
        content = call.content_digest
        return content if self._evidence.suspicion(content) else ""

    def may_repeat(self, call: Call) -> bool:
        """Returns whether a call that may have run may be sent again."""
        if not call.is_retriable:
            return False
        return not any(s.is_held for _, s in self._suspicions(call))

    async def record_loss(self, call: Call, state: ReplicaState) -> None:
        """Records a connection that was lost while its replica ran a call.

        Returns once the replica has refused another connection or taken it, so
        that the call is sent on to the next one only if it may be. A replica
        that takes it may have been started again at once: then a later answer
        at its address tells that it has ended.
        """
        if state.is_leaving:
            return
        self._add_lost(call, state)
        if await self._pool.refuses(state.replica):
            self.record_end(state)

    def record_abandoned(self, call: Call, state: ReplicaState) -> None:
        """Records a call that was given up on while its replica ran it.

        Some replicas go on with a request whose connection is closed, and may
        end under it. This is looked at a little later.
        """
        if state.is_leaving:
            return
        self._add_lost(call, state)
        incarnation = state.replica.incarnation
        if incarnation in self._checked_incarnations:
            return
        self._checked_incarnations.add(incarnation)
        self._spawn(self._check_later(state))

    def record_end(self, state: ReplicaState) -> None:
        """Records that a replica has ended: its address is no longer its own.

        The runs that were lost there shortly before were under way as it
        ended.
        """
        incarnation = state.replica.incarnation
        for run in self._lost.take(incarnation, _now()):
            suspicion = self._evidence.record_crash(
                run.content,
                incarnation,
                _now(),
                was_suspected=run.was_suspected,
            )
            if suspicion is None:
                continue
            self._metrics.count("suspect_crashes_total")
            logs.write_bounded(
                "crash_suspect",
                content=run.content,
                replica=state.replica.id,
                service=state.replica.service,
                was_suspected=run.was_suspected,
                crashes=suspicion.crashes,
                held=suspicion.is_held,
            )

    def record_success(self, call: Call) -> None:
        """Records that a replica has run a call whole."""
        for key, before in self._suspicions(call):
            self._evidence.record_success(key, _now())
            logs.write_bounded(
                "suspect_cleared",
                request_id=call.metadata.request_id,
                content=key,
                crashes=before.crashes,
            )
            if before.is_held:
                self._spawn(self._trials.end(key))

    def finish(self, call: Call) -> None:
        """Ends a call; a trial that did not run leaves the next one free."""
        if call.possible_runs:
            return
        for key in call.trial_keys:
            self._spawn(self._trials.withdraw(key))
        call.trial_keys = ()

    def _suspicions(self, call: Call) -> list[tuple[str, Suspicion]]:
        # Without suspects no digest is taken of any prompt.
        if not self._evidence.has_suspects:
            return []
        suspicions = (
            (key, self._evidence.suspicion(key)) for key in call.suspicion_keys
        )
        return [(key, s) for key, s in suspicions if s is not None]

    def _add_lost(self, call: Call, state: ReplicaState) -> None:
        for key in call.suspicion_keys:
            run = LostRun(key, key in call.suspected_keys)
            self._lost.add(state.replica.incarnation, run, _now())

    async def _check_later(self, state: ReplicaState) -> None:
        await asyncio.sleep(_CHECK_DELAY_S)
        self._checked_incarnations.discard(state.replica.incarnation)
        if await self._pool.refuses(state.replica):
            self.record_end(state)

    async def _claim_trial(
        self, call: Call, key: str, suspicion: Suspicion
    ) -> float:
        now = _now()
        wait_s = max(
            suspicion.held_for_s(key, now),
            self._next_claim_at_by_content.get(key, 0.0) - now,
        )
        if wait_s > 0:
            return wait_s
        wait_s = await self._trials.claim(key)
        logs.write_bounded(
            "suspect_trial",
            request_id=call.metadata.request_id,
            content=key,
            crashes=suspicion.crashes,
            granted=not wait_s,
            wait_s=round(wait_s, 1),
        )
        self._forget_released()
        self._next_claim_at_by_content[key] = _now() + wait_s
        return wait_s

    def _forget_released(self) -> None:
        suspicions = self._evidence.suspicions()
        for content in self._next_claim_at_by_content.keys() - suspicions:
            del self._next_claim_at_by_content[content]

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _now() -> float:
    return asyncio.get_running_loop().time()
