"""Conversations whose turns are kept, while storage hosts are lost."""

import asyncio
import random
import time

from masticdale_soak.environment import Environment
from masticdale_soak.load_generator import Attempt, LoadGenerator, RequestKind
from masticdale_soak.processes import StorageProcess

_WORKERS = 3
_MAX_TURNS = 8
_MAX_ATTEMPTS = 6
_PAUSE_S = 0.05
_MAX_RETRY_WAIT_S = 2.0
# Probability that a conversation continues a turn of an earlier one.
_BRANCH_PROBABILITY = 0.3
# Bounds of the time for which a storage host is down, in seconds.
_MIN_DOWN_S = 0.1
_MAX_DOWN_S = 2.0
# Time after a wiped disk is back in which no other host is lost, in seconds:
# until then it counts as lost.
_REPAIR_S = 6.0
# Time between two losses, in seconds.
_MAX_CALM_S = 3.0
# No host is lost in this last part of a run, in seconds.
_LOSS_FREE_END_S = 3.0


class ConversationLoad:
    """Runs conversations and loses storage hosts, one at a time."""

    def __init__(
        self, environment: Environment, load: LoadGenerator, seed: int
    ) -> None:
        self._environment = environment
        self._load = load
        # Of their own, so that the rest of the load and the plan are the same
        # without conversations.
        self._random = random.Random(seed)
        self._loss_random = random.Random(seed)
        self._served_ids: list[str] = []
        self._deadline = 0.0

    async def run(self, seconds: float) -> None:
        """Runs conversations for a period."""
        self._deadline = time.monotonic() + seconds
        await asyncio.gather(
            self._lose_hosts(), *(self._run(n) for n in range(_WORKERS))
        )

    async def _run(self, worker: int) -> None:
        count = 0
        while time.monotonic() < self._deadline:
            count += 1
            await self._converse(f"talk{worker}-{count}")
            await asyncio.sleep(_PAUSE_S)

    async def _converse(self, name: str) -> None:
        previous_id = ""
        if self._served_ids and self._random.random() < _BRANCH_PROBABILITY:
            previous_id = self._random.choice(self._served_ids)
        for turn in range(_MAX_TURNS):
            if time.monotonic() > self._deadline:
                return
            last = await self._send_until_served(f"{name}-{turn}", previous_id)
            if last is None:
                return
            previous_id = last.request_id
            self._served_ids.append(previous_id)
            await asyncio.sleep(_PAUSE_S)

    async def _send_until_served(
        self, name: str, previous_id: str
    ) -> Attempt | None:
        for number in range(_MAX_ATTEMPTS):
            host = self._random.choice(self._load.ready_hosts)
            request_id = f"{name}-{number}"
            last = await self._load.send(
                host,
                RequestKind.CONVERSATION,
                request_id,
                program_id=name.rpartition("-")[0],
                previous_id=previous_id,
                content=b"\xff\x00input of " + request_id.encode(),
            )
            if last.is_served:
                return last
            wait_s = last.retry_after_s or _PAUSE_S
            await asyncio.sleep(min(wait_s, _MAX_RETRY_WAIT_S))
        return None

    async def _lose_hosts(self) -> None:
        while True:
            await asyncio.sleep(self._loss_random.uniform(0.0, _MAX_CALM_S))
            if time.monotonic() > self._deadline - _LOSS_FREE_END_S:
                return
            host = self._loss_random.choice(self._environment.storage_hosts)
            await self._lose(host, is_wiped=self._loss_random.random() < 0.5)

    async def _lose(self, host: StorageProcess, *, is_wiped: bool) -> None:
        if is_wiped:
            await host.wipe()
        else:
            await host.kill()
        await asyncio.sleep(self._loss_random.uniform(_MIN_DOWN_S, _MAX_DOWN_S))
        host.start()
        await host.wait_ready()
        if is_wiped:
            await asyncio.sleep(_REPAIR_S)
