"""Callers: programs of turns, orders and lookups, over kept connections."""

import asyncio
import dataclasses
import enum
import random
import time

import httpx

from masticdale_soak.environment import (
    CALLERS_HOST,
    LOOKUP_PATH,
    ORDER_PATH,
    STREAM_PATH,
    World,
    version_path,
)
from masticdale_soak.processes import HostProcess

BUDGET_TOKENS = 400
# The most that one turn may use, as its headers say, in tokens.
TURN_TOKENS = 100
# What callers give a request, in seconds.
DEADLINE_S = 2.5
# Callers wait longer than that for an answer that is overdue, in seconds.
_CLIENT_TIMEOUT_S = 8.0
# The balancer asks each host this often, in seconds.
_BALANCER_S = 0.5
# Share of requests for which a caller stays with the host of its last one,
# as long as its connection there holds: also while that host stops.
_STICKY_SHARE = 0.7
_PROGRAMS = 6
_ORDERERS = 3
_LOOKERS = 3
_PAUSE_S = 0.05
_MOST_TRIES = 4
_MOST_TURNS = 24
# Every third program goes on until it is told that its budget is spent.
_LOOPING_EVERY = 3
_SHORT_TURNS = 3
_LONGEST_WAIT_S = 2.0
# Programs of each caller, so that names don't collide.
_NAMES_APART = 1000


class Kind(enum.StrEnum):
    """What a caller asks for."""

    TURN = "turn"
    ORDER = "order"
    LOOKUP = "lookup"
    VERSION = "version"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request, and what its caller saw.

    Attributes:
        request_id: No other request has it.
        kind: What was asked for.
        host: Name of the host that was asked.
        life: Number of that host's process when it was sent.
        program_id: The program of a turn.
        version: The configuration that a version's route belongs to.
        began: Monotonic seconds when it was sent.
        ended: When its answer was complete or broke off.
        status: Of the answer; None where none came.
        seal: The replica's signature, where the answer bears one.
        body: Of the answer, as far as it came.
        error: Why it broke off; empty for a whole answer.
        retry_after_s: When to come back, where that was said.
    """

    request_id: str
    kind: Kind
    host: str
    life: int
    program_id: str = ""
    version: int = 0
    began: float = 0.0
    ended: float = 0.0
    status: int | None = None
    seal: str = ""
    body: bytes = b""
    error: str = ""
    retry_after_s: float | None = None

    @property
    def is_served(self) -> bool:
        """Whether a whole success came."""
        return self.status == httpx.codes.OK and not self.error

    def event_numbers(self) -> list[int]:
        """Returns the ids of the whole events of a stream."""
        events = self.body.decode().split("\n\n")[:-1]
        heads = (event.partition("\n")[0] for event in events)
        return [int(head.removeprefix("id: ")) for head in heads]


class Callers:
    """All callers of a run.

    Attributes:
        attempts: Every request so far.
    """

    def __init__(self, world: World, seed: int) -> None:
        self.attempts: list[Attempt] = []
        self._world = world
        self._random = random.Random(seed)
        self._ready: list[HostProcess] = list(world.hosts)
        self._http_by_host = {
            host.name: httpx.AsyncClient(
                base_url=host.url,
                trust_env=False,
                timeout=_CLIENT_TIMEOUT_S,
                verify=False,
                limits=httpx.Limits(max_connections=None),
            )
            for host in world.hosts
        }
        self._ends_at = 0.0

    async def run(self, seconds: float) -> None:
        """Sends requests for some time, and lets the last ones end."""
        self._ends_at = time.monotonic() + seconds
        balancer = asyncio.create_task(self._balance())
        try:
            await asyncio.gather(
                *(self._run_programs(n) for n in range(_PROGRAMS)),
                *(self._repeat(Kind.ORDER, n) for n in range(_ORDERERS)),
                *(self._repeat(Kind.LOOKUP, n) for n in range(_LOOKERS)),
                *(self._ask_versions(host) for host in self._world.hosts),
            )
        finally:
            balancer.cancel()

    async def close(self) -> None:
        """Closes every connection."""
        for http in self._http_by_host.values():
            await http.aclose()

    async def send(
        self,
        host: HostProcess,
        kind: Kind,
        request_id: str,
        program_id: str = "",
        version: int = 0,
    ) -> Attempt:
        """Sends a request to a host and waits for the end of its answer."""
        attempt = Attempt(
            request_id, kind, host.name, len(host.lives), program_id, version
        )
        self.attempts.append(attempt)
        attempt.began = time.monotonic()
        try:
            await self._exchange(attempt)
        except httpx.HTTPError as error:
            attempt.error = repr(error)
        attempt.ended = time.monotonic()
        return attempt

    async def _exchange(self, attempt: Attempt) -> None:
        http = self._http_by_host[attempt.host]
        path, fields = _request_of(attempt)
        method = "POST" if attempt.kind in (Kind.TURN, Kind.ORDER) else "GET"
        content = b"{}" if method == "POST" else b""
        async with http.stream(
            method, path, headers=fields, content=content
        ) as response:
            attempt.status = response.status_code
            attempt.seal = response.headers.get("response-seal", "")
            told = response.headers.get("retry-after")
            attempt.retry_after_s = float(told) if told else None
            async for part in response.aiter_raw():
                attempt.body += part

    async def _run_programs(self, number: int) -> None:
        count = 0
        while self._is_open:
            count += 1
            loops = (number + count) % _LOOPING_EVERY == 0
            await self._run_program(
                f"p{number * _NAMES_APART + count}",
                _MOST_TURNS if loops else _SHORT_TURNS,
            )

    async def _run_program(self, program_id: str, turns: int) -> None:
        host: HostProcess | None = None
        for turn in range(turns):
            if not self._is_open:
                return
            name = f"{program_id}-{turn}"
            last = await self._until_served(Kind.TURN, name, host, program_id)
            if not last.is_served:
                return
            host = self._host_of(last)
            await asyncio.sleep(_PAUSE_S)

    async def _repeat(self, kind: Kind, number: int) -> None:
        host: HostProcess | None = None
        count = 0
        while self._is_open:
            count += 1
            last = await self._until_served(
                kind, f"{kind.value}{number}-{count}", host
            )
            host = self._host_of(last) if last.is_served else None
            await asyncio.sleep(_PAUSE_S)

    async def _until_served(
        self,
        kind: Kind,
        name: str,
        host: HostProcess | None,
        program_id: str = "",
    ) -> Attempt:
        """Sends again what was refused, each time under another id.

        What must not run twice is not sent again after an unknown outcome.
        """
        for number in range(_MOST_TRIES):
            if host is None or self._random.random() > _STICKY_SHARE:
                host = self._random.choice(self._ready or self._world.hosts)
            request_id = f"{name}-{number}"
            last = await self.send(host, kind, request_id, program_id)
            host = None
            is_told_to_return = last.retry_after_s is not None
            if last.is_served or not is_told_to_return:
                return last
            await asyncio.sleep(min(last.retry_after_s or 0, _LONGEST_WAIT_S))
        return last

    async def _ask_versions(self, host: HostProcess) -> None:
        """Asks a host by turns which version of the configuration it has."""
        count = 0
        while self._is_open:
            count += 1
            newest = self._world.version
            version = self._random.randint(max(1, newest - 1), newest)
            request_id = f"{host.name}-version-{count}"
            await self.send(host, Kind.VERSION, request_id, version=version)
            await asyncio.sleep(2 * _PAUSE_S)

    async def _balance(self) -> None:
        while True:
            states = await asyncio.gather(
                *(host.is_ready() for host in self._world.hosts)
            )
            pairs = zip(self._world.hosts, states, strict=True)
            self._ready = [host for host, is_ready in pairs if is_ready]
            await asyncio.sleep(_BALANCER_S)

    def _host_of(self, attempt: Attempt) -> HostProcess:
        return next(h for h in self._world.hosts if h.name == attempt.host)

    @property
    def _is_open(self) -> bool:
        return time.monotonic() < self._ends_at


def _request_of(attempt: Attempt) -> tuple[str, dict[str, str]]:
    fields = {
        "Host": CALLERS_HOST,
        "Request-Id": attempt.request_id,
        "Deadline-Ms": str(int(1000 * DEADLINE_S)),
    }
    if attempt.kind is Kind.ORDER:
        return ORDER_PATH + "x", fields
    if attempt.kind is Kind.LOOKUP:
        return LOOKUP_PATH + "x", fields
    if attempt.kind is Kind.VERSION:
        return version_path(attempt.version) + "x", fields
    fields |= {
        "Program-Id": attempt.program_id,
        "Session-Id": attempt.program_id,
        "Token-Budget": str(BUDGET_TOKENS),
        "Token-Usage": f"1000,{TURN_TOKENS}",
    }
    return STREAM_PATH + "x", fields
