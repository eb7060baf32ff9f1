"""HTTP client of the hosts' operator API."""

import asyncio
import dataclasses
import pathlib
import types
from typing import Any, Self, TypeVar

import httpx
import pydantic

from masticctl.errors import (
    EXIT_UNREACHABLE,
    ApiError,
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

MAX_ATTEMPTS = 4
BACKOFF_S = 0.5
_RETRYABLE_KINDS = frozenset(
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
    """Connection settings of the operator client.

    Attributes:
        servers: Base URLs, tried in this order.
        token: The operator's token; empty to send none.
        timeout_s: Timeout of one request, in seconds.
        backoff_s: First wait between two attempts, in seconds.
    """

    servers: tuple[str, ...]
    token: str
    timeout_s: float
    backoff_s: float = BACKOFF_S


class OutcomeUnknownError(ToolError):
    """A change was sent, but no response tells whether it was accepted."""


class OperatorClient:
    """Sends requests to the first available server."""

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
        self, path: str, response_type: type[ValueT], query: Query | None = None
    ) -> ValueT:
        """Sends a GET request to the first available server.

        Args:
            path: Path on the server.
            response_type: Type that the response body is decoded to.
            query: Query parameters.
        """
        response = await self._send_with_failover("GET", path, params=query)
        return _decode(response, response_type)

    async def get_text(self, path: str) -> str:
        """Fetches a text body from the first available server."""
        return (await self._send_with_failover("GET", path)).text

    async def get_json(self, path: str) -> Any:
        """Fetches a JSON body without validating its schema."""
        return (await self._send_with_failover("GET", path)).json()

    async def post(
        self,
        path: str,
        response_type: type[ValueT],
        body: pydantic.BaseModel | None = None,
    ) -> ValueT:
        """Sends a POST request to the first server that accepts a connection.

        A request that may have reached a server is not sent to another one,
        since it may not be idempotent.

        Args:
            path: Path on the server.
            response_type: Type that the response body is decoded to.
            body: Request body; None for an empty one.
        """
        content = body.model_dump_json().encode() if body else b""
        response = await self._send_with_failover("POST", path, content=content)
        return _decode(response, response_type)

    async def declarations(self, query: Query) -> DeclarationPage:
        """Fetches all pages of declarations and merges them into one."""
        page = await self.get("/v1/config", DeclarationPage, query)
        items = list(page.items)
        revision = page.revision
        while page.next_after:
            next_query: Query = query | {"after": page.next_after}
            page = await self.get("/v1/config", DeclarationPage, next_query)
            items.extend(page.items)
        return DeclarationPage(revision, tuple(items))

    async def apply(self, change: ChangeRequest) -> ApplyReport:
        """Applies a change, retrying when the response is lost.

        Retries are idempotent: the daemon deduplicates changes by
        ``change_id``.

        Raises:
            OutcomeUnknownError: No server gave a definite response.
            RefusedError: The change was rejected and has not been written.
        """
        last_error = "no server answered"
        may_have_arrived = False
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await asyncio.sleep(self._settings.backoff_s * 2**attempt)
            for server in self._settings.servers:
                try:
                    return await self._send_apply(server, change)
                except httpx.ConnectError as error:
                    last_error = f"{server}: {_describe_error(error)}"
                except httpx.TransportError as error:
                    may_have_arrived = True
                    last_error = f"{server}: {_describe_error(error)}"
                except ApiError as error:
                    if error.kind in _RETRYABLE_KINDS:
                        may_have_arrived = True
                        last_error = f"{server}: {error}"
                        continue
                    if not may_have_arrived:
                        raise
                    # An earlier attempt may still be in flight to the platform
                    # and be accepted after this rejection.
                    raise _outcome_unknown(
                        change, f"{server}: {error}"
                    ) from error
        if not may_have_arrived:
            raise _no_server_available(last_error)
        raise _outcome_unknown(change, last_error)

    async def _send_apply(
        self, server: str, change: ChangeRequest
    ) -> ApplyReport:
        response = await self._http.post(
            f"{server}/v1/config/apply",
            content=change.model_dump_json().encode(),
        )
        return _decode(_raise_for_error(response), ApplyReport)

    async def _send_with_failover(
        self, method: str, path: str, **options: Any
    ) -> httpx.Response:
        errors = []
        for server in self._settings.servers:
            try:
                response = await self._http.request(
                    method, f"{server}{path}", **options
                )
            except httpx.ConnectError as error:
                errors.append(f"{server}: {_describe_error(error)}")
                continue
            except httpx.TransportError as error:
                errors.append(f"{server}: {_describe_error(error)}")
                if method == "GET":
                    continue
                raise ToolError(
                    f"{server}: response lost ({_describe_error(error)});"
                    " the request may have been carried out.",
                    "check its effect before you send it again.",
                    EXIT_UNREACHABLE,
                ) from error
            return _raise_for_error(response)
        raise _no_server_available("; ".join(errors))


def create_client(
    servers: str, token_file: str, timeout_s: float
) -> OperatorClient:
    """Creates a client from command-line options.

    Args:
        servers: Comma-separated base URLs.
        token_file: File that holds the token; empty to send none.
        timeout_s: Timeout of one request, in seconds.

    Raises:
        UsageError: A server URL is invalid or the token file cannot be read.
    """
    urls = tuple(s.strip().rstrip("/") for s in servers.split(",") if s.strip())
    if not urls:
        raise UsageError(
            "--server: no address", "give one or more http://ADDRESS:PORT."
        )
    for url in urls:
        if not url.startswith(("http://", "https://")):
            raise UsageError(
                f"--server: {url!r} is not a URL", "give http://ADDRESS:PORT."
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


def _raise_for_error(response: httpx.Response) -> httpx.Response:
    if response.is_success:
        return response
    try:
        adapter = pydantic.TypeAdapter(ErrorBody)
        body = adapter.validate_json(response.content)
    except pydantic.ValidationError as error:
        raise _unexpected_response(response) from error
    raise ApiError(body)


def _decode(response: httpx.Response, response_type: type[ValueT]) -> ValueT:
    try:
        return pydantic.TypeAdapter(response_type).validate_json(
            response.content or b"null"
        )
    except pydantic.ValidationError as error:
        raise _unexpected_response(response) from error


def _unexpected_response(response: httpx.Response) -> ToolError:
    return ToolError(
        f"{response.url}: status {response.status_code} with an unexpected"
        " body",
        "check that --server names the operator listener of a host, and that"
        " the tool and the daemon are of the same release.",
    )


def _outcome_unknown(
    change: ChangeRequest, problem: str
) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        f"change {change.change_id} may or may not have been accepted."
        f" Last response: {problem}",
        exit_code=EXIT_UNREACHABLE,
    )


def _no_server_available(problem: str) -> ToolError:
    return ToolError(
        f"no server available: {problem}",
        "--server takes a comma-separated list of addresses.",
        EXIT_UNREACHABLE,
    )


def _describe_error(error: Exception) -> str:
    return str(error) or type(error).__name__
