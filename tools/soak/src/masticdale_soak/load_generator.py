"""Generates load: turns of programs, orders and lookups over keep-alive."""

import asyncio
import dataclasses
import enum
import itertools
import random
import time

import httpx

from masticdale_soak.environment import (
    CAPPED_KEY,
    CONVERSATION_PATH,
    FATAL_TARGET,
    HOST_HEADER,
    LOOKUP_PATH,
    ORDER_PATH,
    STREAM_PATH,
    WORKSPACE_KEY,
    Environment,
    version_path,
)
from masticdale_soak.processes import HostProcess

BUDGET_TOKENS = 400
# Maximum tokens of a turn, as sent in its headers.
TURN_TOKENS = 100
# Large enough for the longest conversation.
_CONVERSATION_TOKENS = 100_000
# Deadline of each request, in seconds.
DEADLINE_S = 2.5
# Exceeds the deadline, so that late responses are observed.
_CLIENT_TIMEOUT_S = 8.0
_READINESS_INTERVAL_S = 0.5
# Probability that a request goes to the host of the previous one, even while
# that host stops.
_STICKY_PROBABILITY = 0.7
_PROGRAM_WORKERS = 6
_ORDER_WORKERS = 3
_LOOKUP_WORKERS = 3
# Together they send several times what the cap allows.
_CAPPED_WORKERS = 3
_PAUSE_S = 0.05
# Seconds between two rounds of a fatal request, and between its attempts.
_FATAL_INTERVAL_S = 0.6
_FATAL_RETRY_S = 0.1
_MAX_ATTEMPTS = 4
_MAX_TURNS = 24
# Every third program sends turns until its budget is exceeded.
_LONG_PROGRAM_INTERVAL = 3
_SHORT_PROGRAM_TURNS = 3
_MAX_RETRY_WAIT_S = 2.0


class RequestKind(enum.StrEnum):
    """Kind of a request."""

    TURN = "turn"
    ORDER = "order"
    LOOKUP = "lookup"
    CAPPED = "capped"
    VERSION = "version"
    FATAL = "fatal"
    CONVERSATION = "conversation"
    STREAM = "stream"


_POSTED_KINDS = (
    RequestKind.TURN,
    RequestKind.ORDER,
    RequestKind.CONVERSATION,
    RequestKind.STREAM,
)


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request and its response.

    Attributes:
        request_id: Unique id of the request.
        kind: Kind of the request.
        host: Name of the host that it was sent to.
        incarnation: Number of that host's process at the time of sending.
        program_id: Program of a turn; empty for other kinds.
        version: Configuration version of a VERSION request.
        started_at: Monotonic time of sending.
        ended_at: Monotonic time when the response was complete or failed.
        status: Status of the response; None without a response.
        seal: Signature of the replica; empty without one.
        body: Body of the response as far as received.
        error: Reason of a failure; empty for a complete response.
        retry_after_s: Value of Retry-After in seconds; None without one.
        previous_id: Request id of the turn that a CONVERSATION request
            continues; empty for the first turn.
        content: Body of the request.
        resumes: Request that began the stream that a STREAM request resumes;
            empty for a new stream.
        last_event_id: The last event of that stream; 0 for a new one.
    """

    request_id: str
    kind: RequestKind
    host: str
    incarnation: int
    program_id: str = ""
    version: int = 0
    started_at: float = 0.0
    ended_at: float = 0.0
    status: int | None = None
    seal: str = ""
    body: bytes = b""
    error: str = ""
    retry_after_s: float | None = None
    previous_id: str = ""
    content: bytes = b"{}"
    resumes: str = ""
    last_event_id: int = 0

    @property
    def is_served(self) -> bool:
        """Whether a complete successful response was received."""
        return self.status == httpx.codes.OK and not self.error

    def event_ids(self) -> list[int]:
        """Returns the ids of the complete events in a stream."""
        events = self.body.decode().split("\n\n")[:-1]
        heads = (event.partition("\n")[0] for event in events)
        return [int(head.removeprefix("id: ")) for head in heads]

    def event_content(self) -> bytes:
        """Returns the data of each event, each followed by a line feed."""
        lines = self.body.split(b"\n")
        prefix = b"data: "
        return b"".join(
            line.removeprefix(prefix) + b"\n"
            for line in lines
            if line.startswith(prefix)
        )


class LoadGenerator:
    """Sends the requests of a run.

    Attributes:
        attempts: All requests sent so far.
    """

    def __init__(
        self, environment: Environment, seed: int, *, fatal: bool = False
    ) -> None:
        self.attempts: list[Attempt] = []
        self._fatal = fatal
        # Of its own, so that the rest of the load is the same without.
        self._fatal_random = random.Random(seed)
        self._environment = environment
        self._random = random.Random(seed)
        self._ready_hosts: list[HostProcess] = list(environment.hosts)
        self._http_by_host = {
            host.name: httpx.AsyncClient(
                base_url=host.url,
                trust_env=False,
                timeout=_CLIENT_TIMEOUT_S,
                verify=False,
                limits=httpx.Limits(max_connections=None),
            )
            for host in environment.hosts
        }
        self._deadline = 0.0

    async def run(self, seconds: float) -> None:
        """Sends requests for a period and waits for the last responses."""
        self._deadline = time.monotonic() + seconds
        helpers = [asyncio.create_task(self._poll_readiness())]
        if self._fatal:
            helpers.append(asyncio.create_task(self._send_fatal()))
        try:
            await asyncio.gather(
                *(self._run_programs(n) for n in range(_PROGRAM_WORKERS)),
                *(
                    self._send_repeatedly(RequestKind.ORDER, n)
                    for n in range(_ORDER_WORKERS)
                ),
                *(
                    self._send_repeatedly(RequestKind.LOOKUP, n)
                    for n in range(_LOOKUP_WORKERS)
                ),
                *(self._flood(n) for n in range(_CAPPED_WORKERS)),
                *(
                    self._poll_versions(host)
                    for host in self._environment.hosts
                ),
            )
        finally:
            for helper in helpers:
                helper.cancel()

    async def close(self) -> None:
        """Closes all connections."""
        for http in self._http_by_host.values():
            await http.aclose()

    async def send(
        self,
        host: HostProcess,
        kind: RequestKind,
        request_id: str,
        program_id: str = "",
        version: int = 0,
        previous_id: str = "",
        content: bytes = b"{}",
        resumes: str = "",
        last_event_id: int = 0,
    ) -> Attempt:
        """Sends a request to a host and waits for its complete response."""
        attempt = Attempt(
            request_id,
            kind,
            host.name,
            len(host.incarnations),
            program_id,
            version,
            previous_id=previous_id,
            content=content,
            resumes=resumes,
            last_event_id=last_event_id,
        )
        self.attempts.append(attempt)
        attempt.started_at = time.monotonic()
        try:
            await self._exchange(attempt)
        except httpx.HTTPError as error:
            attempt.error = repr(error)
        attempt.ended_at = time.monotonic()
        return attempt

    async def _exchange(self, attempt: Attempt) -> None:
        http = self._http_by_host[attempt.host]
        path, fields = _build_request(attempt)
        method = "POST" if attempt.kind in _POSTED_KINDS else "GET"
        content = attempt.content if method == "POST" else b""
        async with http.stream(
            method, path, headers=fields, content=content
        ) as response:
            attempt.status = response.status_code
            attempt.seal = response.headers.get("response-seal", "")
            retry_after = response.headers.get("retry-after")
            attempt.retry_after_s = float(retry_after) if retry_after else None
            async for part in response.aiter_raw():
                attempt.body += part

    async def _run_programs(self, number: int) -> None:
        count = 0
        while self._is_running:
            count += 1
            is_long = (number + count) % _LONG_PROGRAM_INTERVAL == 0
            await self._run_program(
                program_name(number, count),
                _MAX_TURNS if is_long else _SHORT_PROGRAM_TURNS,
            )

    async def _run_program(self, program_id: str, turns: int) -> None:
        host: HostProcess | None = None
        for turn in range(turns):
            if not self._is_running:
                return
            name = f"{program_id}-{turn}"
            last = await self._send_until_served(
                RequestKind.TURN, name, host, program_id
            )
            if not last.is_served:
                # Without a pause a worker begins thousands of programs while
                # all hosts refuse connections.
                await asyncio.sleep(_PAUSE_S)
                return
            host = self._find_host(last)
            await asyncio.sleep(_PAUSE_S)

    async def _send_repeatedly(self, kind: RequestKind, number: int) -> None:
        host: HostProcess | None = None
        count = 0
        while self._is_running:
            count += 1
            last = await self._send_until_served(
                kind, f"{kind.value}{number}-{count}", host
            )
            host = self._find_host(last) if last.is_served else None
            await asyncio.sleep(_PAUSE_S)

    async def _flood(self, number: int) -> None:
        """Sends requests of the capped workspace, whatever is answered."""
        count = 0
        while self._is_running:
            count += 1
            hosts = self._ready_hosts or self._environment.hosts
            await self.send(
                self._random.choice(hosts),
                RequestKind.CAPPED,
                f"capped{number}-{count}",
            )
            await asyncio.sleep(_PAUSE_S)

    async def _send_fatal(self) -> None:
        """Sends one content again and again, through two hosts each time."""
        for count in itertools.count():
            for number in range(2):
                host = self._fatal_random.choice(
                    self._ready_hosts or self._environment.hosts
                )
                request_id = f"fatal{count}-{number}"
                await self.send(host, RequestKind.FATAL, request_id)
                await asyncio.sleep(_FATAL_RETRY_S)
            await asyncio.sleep(_FATAL_INTERVAL_S)

    async def _send_until_served(
        self,
        kind: RequestKind,
        name: str,
        host: HostProcess | None,
        program_id: str = "",
    ) -> Attempt:
        """Retries refused requests, each time with a new request id.

        A request is not retried without Retry-After in the response, since it
        may have been executed.
        """
        for number in range(_MAX_ATTEMPTS):
            if host is None or self._random.random() > _STICKY_PROBABILITY:
                host = self._random.choice(
                    self._ready_hosts or self._environment.hosts
                )
            request_id = f"{name}-{number}"
            last = await self.send(host, kind, request_id, program_id)
            host = None
            has_retry_after = last.retry_after_s is not None
            if last.is_served or not has_retry_after:
                return last
            await asyncio.sleep(min(last.retry_after_s or 0, _MAX_RETRY_WAIT_S))
        return last

    async def _poll_versions(self, host: HostProcess) -> None:
        """Requests the routes of the last two configuration versions."""
        count = 0
        while self._is_running:
            count += 1
            newest = self._environment.version
            version = self._random.randint(max(1, newest - 1), newest)
            request_id = f"{host.name}-version-{count}"
            await self.send(
                host, RequestKind.VERSION, request_id, version=version
            )
            await asyncio.sleep(2 * _PAUSE_S)

    async def _poll_readiness(self) -> None:
        while True:
            states = await asyncio.gather(
                *(host.is_ready() for host in self._environment.hosts)
            )
            pairs = zip(self._environment.hosts, states, strict=True)
            self._ready_hosts = [host for host, is_ready in pairs if is_ready]
            await asyncio.sleep(_READINESS_INTERVAL_S)

    def _find_host(self, attempt: Attempt) -> HostProcess:
        return next(
            h for h in self._environment.hosts if h.name == attempt.host
        )

    @property
    def ready_hosts(self) -> list[HostProcess]:
        """The hosts that the last probe found ready, or else all."""
        return self._ready_hosts or self._environment.hosts

    @property
    def _is_running(self) -> bool:
        return time.monotonic() < self._deadline


def program_name(worker: int, count: int) -> str:
    """Returns the id of a worker's program; unique over all workers."""
    return f"p{worker}-{count}"


def _build_request(attempt: Attempt) -> tuple[str, dict[str, str]]:
    fields = {
        "Host": HOST_HEADER,
        "Request-Id": attempt.request_id,
        "Deadline-Ms": str(int(1000 * DEADLINE_S)),
        "Api-Key": WORKSPACE_KEY,
    }
    if attempt.kind is RequestKind.CAPPED:
        return LOOKUP_PATH + "x", fields | {"Api-Key": CAPPED_KEY}
    if attempt.kind is RequestKind.ORDER:
        return ORDER_PATH + "x", fields
    if attempt.kind is RequestKind.LOOKUP:
        return LOOKUP_PATH + "x", fields
    if attempt.kind is RequestKind.FATAL:
        return LOOKUP_PATH + FATAL_TARGET, fields
    if attempt.kind is RequestKind.VERSION:
        return version_path(attempt.version) + "x", fields
    if attempt.kind is RequestKind.STREAM:
        if attempt.resumes:
            fields["Resumes"] = attempt.resumes
            fields["Last-Event-Id"] = str(attempt.last_event_id)
        return STREAM_PATH + "x", fields
    fields |= {
        "Program-Id": attempt.program_id,
        "Session-Id": attempt.program_id,
        "Token-Budget": str(BUDGET_TOKENS),
        "Token-Usage": f"1000,{TURN_TOKENS}",
    }
    if attempt.kind is RequestKind.TURN:
        return STREAM_PATH + "x", fields
    fields["Token-Budget"] = str(_CONVERSATION_TOKENS)
    if attempt.previous_id:
        fields["Previous-Turn"] = attempt.previous_id
    return CONVERSATION_PATH + "x", fields
