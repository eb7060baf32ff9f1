"""Talking to the operators' listeners of the hosts."""

import asyncio
import dataclasses
import pathlib
import types
from typing import Any, Self, TypeVar

import httpx
import pydantic

from masticctl.errors import (
    EXIT_UNREACHABLE,
    RefusedError,
    ToolError,
    UsageError,
)
from masticdale_common import ErrorKind
from masticdale_config.messages import (
    ApplyReport,
    ChangeRequest,
    DeclarationPage,
    ErrorBody,
)

MAX_ROUNDS = 4
BACKOFF_S = 0.5
_RESENDABLE = frozenset(
    {
        ErrorKind.WRITE_UNKNOWN,
        ErrorKind.PEER_UNAVAILABLE,
        ErrorKind.STOPPING,
        ErrorKind.INTERNAL,
    }
)

ValueT = TypeVar("ValueT")
Query = dict[str, str | int]


@dataclasses.dataclass(frozen=True, slots=True)
class ClientSettings:
    """How to reach the hosts.

    Attributes:
        servers: Base URLs, tried in this order.
        token: The operator's token; empty to send none.
        timeout_s: Longest wait for one answer.
        backoff_s: First wait between two rounds over the servers.
    """

    servers: tuple[str, ...]
    token: str
    timeout_s: float
    backoff_s: float = BACKOFF_S


class OutcomeUnknownError(ToolError):
    """An apply was sent and no answer came, whatever was tried."""


class OperatorClient:
    """Sends requests to the first server that answers."""

    def __init__(
        self,
        settings: ClientSettings,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self._settings = settings
        headers = {}
        if settings.token:
            headers["Authorization"] = f"Bearer {settings.token}"
        self._http = httpx.AsyncClient(
            headers=headers, timeout=settings.timeout_s, transport=transport
        )

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await self._http.aclose()

    async def get(
        self, path: str, answer: type[ValueT], query: Query | None = None
    ) -> ValueT:
        """Reads from the first server that answers.

        Args:
            path: Path on the server.
            answer: Type of the answer.
            query: Query parameters.
        """
        response = await self._first("GET", path, params=query)
        return _decode(response, answer)

    async def get_text(self, path: str) -> str:
        """Reads text from the first server that answers."""
        return (await self._first("GET", path)).text

    async def get_json(self, path: str) -> Any:
        """Reads JSON of no fixed shape."""
        return (await self._first("GET", path)).json()

    async def post(
        self,
        path: str,
        answer: type[ValueT],
        body: pydantic.BaseModel | None = None,
    ) -> ValueT:
        """Posts to the first server that can be connected to.

        A request that may have arrived is not sent to another server.

        Args:
            path: Path on the server.
            answer: Type of the answer.
            body: What to send.
        """
        content = body.model_dump_json().encode() if body else b""
        response = await self._first("POST", path, content=content)
        return _decode(response, answer)

    async def declarations(self, query: Query) -> DeclarationPage:
        """Returns all pages of declarations as one."""
        page = await self.get("/v1/config", DeclarationPage, query)
        items = list(page.items)
        revision = page.revision
        while page.next_after:
            more: Query = query | {"after": page.next_after}
            page = await self.get("/v1/config", DeclarationPage, more)
            items.extend(page.items)
        return DeclarationPage(revision, tuple(items))

    async def apply(self, change: ChangeRequest) -> ApplyReport:
        """Applies a change, sending it again where the answer was lost.

        The daemon recognises the ``change_id``, so a change whose first
        answer was lost is reported as accepted and not applied twice.

        Raises:
            OutcomeUnknownError: No server gave a definite answer.
            RefusedError: It was refused and surely not written.
        """
        problem = "no server answered"
        sent = False
        for attempt in range(MAX_ROUNDS):
            if attempt:
                await asyncio.sleep(self._settings.backoff_s * 2**attempt)
            for server in self._settings.servers:
                try:
                    return await self._apply_at(server, change)
                except httpx.ConnectError as error:
                    problem = f"{server}: {_reason(error)}"
                except httpx.TransportError as error:
                    sent = True
                    problem = f"{server}: {_reason(error)}"
                except RefusedError as error:
                    if error.kind in _RESENDABLE:
                        sent = True
                        problem = f"{server}: {error}"
                        continue
                    if not sent:
                        raise
                    # The request sent first may still be on its way to the
                    # platform and be accepted after this refusal.
                    raise _unknown(change, f"{server}: {error}") from error
        if not sent:
            raise _unreachable(problem)
        raise _unknown(change, problem)

    async def _apply_at(
        self, server: str, change: ChangeRequest
    ) -> ApplyReport:
        response = await self._http.post(
            f"{server}/v1/config/apply",
            content=change.model_dump_json().encode(),
        )
        return _decode(_checked(response), ApplyReport)

    async def _first(
        self, method: str, path: str, **options: Any
    ) -> httpx.Response:
        problems = []
        for server in self._settings.servers:
            try:
                response = await self._http.request(
                    method, f"{server}{path}", **options
                )
            except httpx.ConnectError as error:
                problems.append(f"{server}: {_reason(error)}")
                continue
            except httpx.TransportError as error:
                problems.append(f"{server}: {_reason(error)}")
                if method == "GET":
                    continue
                raise ToolError(
                    f"{server}: the answer was lost ({_reason(error)});"
                    " the request may have been carried out.",
                    "look before you send it again.",
                    EXIT_UNREACHABLE,
                ) from error
            return _checked(response)
        raise _unreachable("; ".join(problems))


def create_client(
    servers: str, token_file: str, timeout_s: float
) -> OperatorClient:
    """Returns a client for the options of the command line.

    Args:
        servers: Base URLs, separated by commas.
        token_file: File that holds the token; empty for none.
        timeout_s: Longest wait for one answer.

    Raises:
        UsageError: An option is wrong.
    """
    urls = tuple(s.strip().rstrip("/") for s in servers.split(",") if s.strip())
    if not urls:
        raise UsageError(
            "--server: no address", "give http://ADDRESS:PORT, or several."
        )
    for url in urls:
        if not url.startswith(("http://", "https://")):
            raise UsageError(
                f"--server: {url!r} is no URL", "give http://ADDRESS:PORT."
            )
    token = _read_token(token_file)
    return OperatorClient(ClientSettings(urls, token, timeout_s))


def _read_token(token_file: str) -> str:
    if not token_file:
        return ""
    try:
        return pathlib.Path(token_file).read_text().strip()
    except OSError as error:
        raise UsageError(
            f"--token-file: {token_file}: {error.strerror}",
            "give a file that holds your token and nothing else.",
        ) from error


def _checked(response: httpx.Response) -> httpx.Response:
    if response.is_success:
        return response
    try:
        adapter = pydantic.TypeAdapter(ErrorBody)
        body = adapter.validate_json(response.content)
    except pydantic.ValidationError as error:
        raise _not_ours(response) from error
    raise RefusedError(body)


def _decode(response: httpx.Response, answer: type[ValueT]) -> ValueT:
    try:
        return pydantic.TypeAdapter(answer).validate_json(
            response.content or b"null"
        )
    except pydantic.ValidationError as error:
        raise _not_ours(response) from error


def _not_ours(response: httpx.Response) -> ToolError:
    return ToolError(
        f"{response.url}: status {response.status_code} with a body that is"
        " not the daemon's",
        "--server must name the operators' listener of a host; or the tool"
        " and the daemon are of different releases.",
    )


def _unknown(change: ChangeRequest, problem: str) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        f"change {change.change_id} may or may not have been accepted."
        f" Last answer: {problem}",
        exit_code=EXIT_UNREACHABLE,
    )


def _unreachable(problem: str) -> ToolError:
    return ToolError(
        f"no server answers: {problem}",
        "--server takes several addresses, separated by commas.",
        EXIT_UNREACHABLE,
    )


def _reason(error: Exception) -> str:
    return str(error) or type(error).__name__
