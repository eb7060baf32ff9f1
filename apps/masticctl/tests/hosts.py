"""Two hosts in memory, reached over HTTP by the command-line tool."""

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
    """What goes wrong on the way to the hosts.

    Attributes:
        down: Hosts that cannot be connected to.
        lose_answers: This many requests are carried out and not answered.
        drop_requests: This many requests are neither.
    """

    down: set[str] = dataclasses.field(default_factory=set)
    lose_answers: int = 0
    drop_requests: int = 0


class FaultyTransport(httpx.AsyncBaseTransport):
    """Carries requests to applications in this process."""

    def __init__(self, app, faults):
        self._inner = httpx.ASGITransport(app=app)
        self._faults = faults
        self.requests = []

    async def handle_async_request(self, request):
        self.requests.append(f"{request.method} {request.url}")
        if request.url.host in self._faults.down:
            raise httpx.ConnectError("connection refused")
        if self._faults.drop_requests > 0:
            self._faults.drop_requests -= 1
            raise httpx.ReadTimeout("no answer")
        response = await self._inner.handle_async_request(request)
        if self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            raise httpx.ReadTimeout("no answer")
        return response


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """How a command ended."""

    code: int
    out: str
    err: str


@contextlib.contextmanager
def _without_debug_notes():
    """Keeps asyncio's notes on slow steps out of a tool's output.

    Under load a test's event loop, which runs in debug mode, reports steps of
    over 0.1 s on standard error, where the tool's own output is collected.
    """
    logger = logging.getLogger("asyncio")
    level = logger.level
    logger.setLevel(logging.ERROR)
    try:
        yield
    finally:
        logger.setLevel(level)


class Tool:
    """Runs commands of the tool against hosts in memory."""

    def __init__(self):
        self.context = create_context()
        self.faults = Faults()
        app = listener.create_operator_app(self.context, create_access(TOKENS))
        self.transport = FaultyTransport(app, self.faults)
        self.token = OPERATE_TOKEN

    async def run(self, *argv):
        """Runs one command line."""
        out, err = io.StringIO(), io.StringIO()
        with (
            mock.patch.object(session, "create_client", self._client),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
            _without_debug_notes(),
        ):
            try:
                code = await main.parse(argv).execute()
            except ToolError as error:
                main.report(error)
                code = error.exit_code
        return Finished(code, out.getvalue(), err.getvalue())

    def _client(self, servers, token_file, timeout_s):
        del servers, token_file
        settings = ClientSettings(
            tuple(SERVERS.split(",")), self.token, timeout_s, backoff_s=0.0
        )
        return OperatorClient(settings, self.transport)
