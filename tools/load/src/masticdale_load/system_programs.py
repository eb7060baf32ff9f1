"""Runs programs as callers do and records the reported outcomes."""

import asyncio
import dataclasses
import json
import random
import time

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Executed
from masticdale_load.system_checks import (
    REPORTED_DONE,
    REPORTED_NOT_RUN,
    REPORTED_UNKNOWN,
)
from masticdale_load.system_client import SystemClient
from masticdale_load.system_declarations import Deployment
from masticdale_load.system_ledger import Acknowledged, ProgramLedger
from masticdale_load.system_plans import SystemPlan
from masticdale_programs import MAIN_BRANCH
from masticdaled.callers.models import (
    CallServiceBody,
    CreateProgramBody,
    OpenBranchBody,
    SendTurnBody,
)

_SHORT_SHARE = 0.1
_STREAM_SHARE = 0.5
_REPEATABLE_SHARE = 0.1
_UNREPEATABLE_SHARE = 0.15
_BRANCH_SHARE = 0.05
_PAUSE_SHARE = 0.2
_BRANCH_TURNS = 2
_MIN_WORDS = 5
_MAX_WORDS = 60


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of a run.

    Attributes:
        ledgers: Ledgers of all created programs.
        turn_seconds: Latency of each acknowledged turn, retries included.
        given_up: Requests that the callers gave up, with the last refusal.
        over_budget: Programs that ran more turns than their budget allows.
    """

    ledgers: list[ProgramLedger] = dataclasses.field(default_factory=list)
    turn_seconds: list[float] = dataclasses.field(default_factory=list)
    given_up: list[str] = dataclasses.field(default_factory=list)
    over_budget: list[str] = dataclasses.field(default_factory=list)


class ProgramDriver:
    """Runs one program from creation to end."""

    def __init__(
        self,
        plan: SystemPlan,
        deployment: Deployment,
        client: SystemClient,
        progress: Progress,
        number: int,
    ) -> None:
        self._plan = plan
        self._deployment = deployment
        self._client = client
        self._progress = progress
        self._label = f"{plan.seed}-{number}"
        self._random = random.Random(self._label)
        self._request_count = 0
        self._is_stopped = False
        self._is_short = self._random.random() < _SHORT_SHARE

    async def run(self) -> None:
        """Runs the program; stops early if a request is given up."""
        deployment = self._deployment
        kind = deployment.short_program if self._is_short else ""
        body = CreateProgramBody(
            request_id=self._label, program=kind or deployment.program
        )
        created = await self._client.create(body)
        if isinstance(created, Failed):
            self._give_up("create", created.failure().kind)
            return
        ledger = ProgramLedger(
            created.unwrap().program_id,
            deployment.key,
            deployment.system_prompt,
            self._plan.max_tokens,
        )
        self._progress.ledgers.append(ledger)
        for _ in range(self._plan.steps):
            if self._is_stopped:
                break
            await self._step(ledger)
        ended = await self._client.end(ledger.program_id)
        ledger.ended = isinstance(ended, Success)
        if isinstance(ended, Failed):
            self._give_up("end", ended.failure().kind)

    async def _step(self, ledger: ProgramLedger) -> None:
        draw = self._random.random()
        if self._random.random() < _PAUSE_SHARE:
            pause_ms = self._random.uniform(0, self._plan.pause_ms)
            await asyncio.sleep(pause_ms / 1000)
        if self._is_short:
            await self._send_turn(ledger, MAIN_BRANCH)
        elif draw < _UNREPEATABLE_SHARE:
            await self._call_unrepeatable(ledger)
        elif draw < _UNREPEATABLE_SHARE + _REPEATABLE_SHARE:
            await self._call_repeatable(ledger)
        elif draw < _UNREPEATABLE_SHARE + _REPEATABLE_SHARE + _BRANCH_SHARE:
            await self._run_sub_agent(ledger)
        else:
            await self._send_turn(ledger, MAIN_BRANCH)

    async def _send_turn(self, ledger: ProgramLedger, branch: str) -> None:
        words = self._random.randint(_MIN_WORDS, _MAX_WORDS)
        message = " ".join(
            f"{self._random.getrandbits(24):06x}" for _ in range(words)
        )
        body = SendTurnBody(
            request_id=self._next_id(ledger),
            message=message,
            branch=branch,
            max_tokens=self._plan.max_tokens,
            stream=self._random.random() < _STREAM_SHARE,
        )
        started = time.monotonic()
        outcome = await self._client.turn(ledger.program_id, body)
        if isinstance(outcome, Failed):
            self._handle_turn_failure(ledger, outcome.failure().kind)
            return
        self._progress.turn_seconds.append(time.monotonic() - started)
        acknowledged = Acknowledged(
            body.request_id, message, outcome.unwrap().text
        )
        ledger.acknowledged_by_branch[branch].append(acknowledged)

    def _handle_turn_failure(self, ledger: ProgramLedger, kind: str) -> None:
        if self._is_short and kind == ErrorKind.BUDGET_EXCEEDED:
            self._is_stopped = True
            return
        self._give_up(f"{ledger.program_id} turn", kind)

    async def _call_unrepeatable(self, ledger: ProgramLedger) -> None:
        body = self._call_body(ledger, self._deployment.unrepeatable)
        outcome = await self._client.call(ledger.program_id, body)
        reported = REPORTED_DONE
        if isinstance(outcome, Failed):
            refusal = outcome.failure()
            is_not_run = refusal.ran == Executed.NO
            reported = REPORTED_NOT_RUN if is_not_run else REPORTED_UNKNOWN
            if refusal.kind != ErrorKind.OUTCOME_UNKNOWN:
                self._give_up(f"{ledger.program_id} call", refusal.kind)
        ledger.outcome_by_request_id[body.request_id] = reported

    async def _call_repeatable(self, ledger: ProgramLedger) -> None:
        body = self._call_body(ledger, self._deployment.repeatable)
        outcome = await self._client.call(ledger.program_id, body)
        if isinstance(outcome, Failed):
            self._give_up(f"{ledger.program_id} lookup", outcome.failure().kind)

    async def _run_sub_agent(self, ledger: ProgramLedger) -> None:
        branch = f"sub-{self._request_count}"
        opened = await self._client.branch(
            ledger.program_id, OpenBranchBody(branch=branch)
        )
        if isinstance(opened, Failed):
            self._give_up("branch", opened.failure().kind)
            return
        ledger.acknowledged_by_branch[branch] = []
        await asyncio.gather(
            self._send_branch_turns(ledger, branch),
            self._send_turn(ledger, MAIN_BRANCH),
        )

    async def _send_branch_turns(
        self, ledger: ProgramLedger, branch: str
    ) -> None:
        for _ in range(_BRANCH_TURNS):
            await self._send_turn(ledger, branch)

    def _call_body(
        self, ledger: ProgramLedger, operation: str
    ) -> CallServiceBody:
        return CallServiceBody(
            request_id=self._next_id(ledger),
            operation=operation,
            payload=json.dumps({"order": self._random.getrandbits(32)}),
        )

    def _next_id(self, ledger: ProgramLedger) -> str:
        self._request_count += 1
        request_id = f"{self._label}-{self._request_count}"
        ledger.sent_ids.add(request_id)
        return request_id

    def _give_up(self, what: str, kind: str) -> None:
        self._is_stopped = True
        self._progress.given_up.append(f"{self._label} {what}: {kind}")
