"""Measures how long the programs of a killed host are unavailable."""

import asyncio
import time

import httpx
from returns.result import Success

from masticdale_common import Metrics, hashing
from masticdale_load.system_client import SystemClient
from masticdale_load.system_hosts import Balancer
from masticdale_platform.client import PlatformClient
from masticdale_programs import MAIN_BRANCH, read_head
from masticdaled.callers.models import CreateProgramBody, ProgramBody

_PLATFORM_TIMEOUT_S = 2.0
_POLL_S = 0.05
_MAX_WAIT_S = 60.0


class TakeoverProbe:
    """Measures takeover times by reading one idle program in each shard."""

    def __init__(
        self, client: SystemClient, balancer: Balancer, platform_url: str
    ) -> None:
        self._client = client
        self._balancer = balancer
        self._platform_url = platform_url
        self._program_by_shard: dict[int, str] = {}

    async def prepare(self, kind: str, seed: int) -> None:
        """Creates programs until each shard has one."""
        number = 0
        while len(self._program_by_shard) < hashing.SHARD_COUNT:
            body = CreateProgramBody(
                request_id=f"probe-{seed}-{number}", program=kind
            )
            created = (await self._client.create(body)).unwrap()
            shard = hashing.shard_of(created.program_id)
            self._program_by_shard.setdefault(shard, created.program_id)
            number += 1

    async def shards_of(self, host: str) -> tuple[int, ...]:
        """Returns the shards that a host owns according to the platform."""
        store = PlatformClient(
            self._platform_url, _PLATFORM_TIMEOUT_S, Metrics()
        )
        owned: list[int] = []
        for shard in range(hashing.SHARD_COUNT):
            head = await read_head(store, shard)
            if not isinstance(head, Success):
                continue
            found = head.unwrap()
            if found is not None and found.owner == host and not found.released:
                owned.append(shard)
        await store.close()
        return tuple(owned)

    async def measure(self, shards: tuple[int, ...]) -> tuple[float, ...]:
        """Returns the seconds until each shard's program can be read.

        Args:
            shards: Shards that the killed host owned.
        """
        started = time.monotonic()
        return tuple(
            await asyncio.gather(*(self._wait(s, started) for s in shards))
        )

    async def _wait(self, shard: int, started: float) -> float:
        path = f"/{self._program_by_shard[shard]}?history={MAIN_BRANCH}"
        while time.monotonic() < started + _MAX_WAIT_S:
            url = self._balancer.next_url()
            try:
                response = await self._client.send_once(
                    url, path, None, ProgramBody
                )
            except httpx.TransportError:
                response = None
            if isinstance(response, Success):
                break
            await asyncio.sleep(_POLL_S)
        return time.monotonic() - started
