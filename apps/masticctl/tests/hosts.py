"""Test harness that runs masticctl against two in-memory hosts."""

import contextlib
import dataclasses
import io
import logging
from unittest import mock

import httpx

from masticctl import main, session
from masticctl.client import ClientSettings, OperatorClient
from masticctl.errors import ToolError
from masticdaled.operators import listener
from masticdaled.operators.access import create_access
from masticdaled.operators.testing import (
    OPERATE_TOKEN,
    TOKENS,
    create_context,
)

SERVERS = "http://host-1,http://host-2"


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults injected between the tool and the hosts.

    Attributes:
        unreachable_hosts: Hosts that refuse connections.
        lost_responses: Number of next requests that are executed but whose
            responses are lost.
        dropped_requests: Number of next requests that are lost before they are
            executed.
    """

    unreachable_hosts: set[str] = dataclasses.field(default_factory=set)
    lost_responses: int = 0
    dropped_requests: int = 0


class FaultyTransport(httpx.AsyncBaseTransport):
    """Routes requests to an in-process application, injecting faults."""

    def __init__(self, app, faults):
        self._inner = httpx.ASGITransport(app=app)
        self._faults = faults
        self.requests = []

    async def handle_async_request(self, request):
        self.requests.append(f"{request.method} {request.url}")
        if request.url.host in self._faults.unreachable_hosts:
            raise httpx.ConnectError("connection refused")
        if self._faults.dropped_requests > 0:
            self._faults.dropped_requests -= 1
            raise httpx.ReadTimeout("no answer")
        response = await self._inner.handle_async_request(request)
        if self._faults.lost_responses > 0:
            self._faults.lost_responses -= 1
            raise httpx.ReadTimeout("no answer")
        return response


@dataclasses.dataclass(frozen=True, slots=True)
class CommandResult:
    """Exit code and output of a command."""

    code: int
    out: str
    err: str


@contextlib.contextmanager
def _without_slow_callback_warnings():
    """Suppresses asyncio's warnings about slow callbacks.

    Test event loops run in debug mode. Under load, they would log warnings to
    standard error, which captures the tool's output.
    """
    logger = logging.getLogger("asyncio")
    level = logger.level
    logger.setLevel(logging.ERROR)
    try:
        yield
    finally:
        logger.setLevel(level)


class ToolHarness:
    """Runs masticctl commands against in-memory hosts."""

    def __init__(self):
        self.context = create_context()
        self.faults = Faults()
        app = listener.create_operator_app(self.context, create_access(TOKENS))
        self.transport = FaultyTransport(app, self.faults)
        self.token = OPERATE_TOKEN

    async def run(self, *argv):
        """Runs one command and returns its exit code and output."""
        out, err = io.StringIO(), io.StringIO()
        with (
            mock.patch.object(session, "create_client", self._client),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
            _without_slow_callback_warnings(),
        ):
            try:
                code = await main.parse(argv).execute()
            except ToolError as error:
                main.report(error)
                code = error.exit_code
        return CommandResult(code, out.getvalue(), err.getvalue())

    def _client(self, servers, token_file, timeout_s):
        del servers, token_file
        settings = ClientSettings(
            tuple(SERVERS.split(",")), self.token, timeout_s, backoff_s=0.0
        )
        return OperatorClient(settings, self.transport)
