"""Admission of model calls by the homes of their content digests.

The home of a content digest is the host that counts the crashes of requests
with that content and quarantines them.
"""

import asyncio
import time

from returns.result import Result, Success

from masticdale_common import Failure, logs
from masticdale_peers import SuspectReply, SuspectRequest
from masticdale_programs import TextSink
from masticdale_routing import Admission
from masticdaled.background import BackgroundTasks
from masticdaled.cluster import Cluster
from masticdaled.execution.runs import Run

_SUSPECT_TIMEOUT_S = 1.0
_ADMISSION_RETRY_S = 0.1
_REPORT_ATTEMPTS = 10
_REPORT_RETRY_S = 0.5


class DigestHomeClient:
    """Requests admission from the homes of content digests."""

    def __init__(self, cluster: Cluster, background: BackgroundTasks) -> None:
        self._cluster = cluster
        self._background = background

    async def wait_until_admitted(self, run: Run, sink: TextSink) -> Admission:
        """Repeats the admission request until it is decided.

        A request that crashes replicas may be repeated under new ids and at
        any host. Its digest's home recognizes it and admits it at most twice.

        Returns:
            WAIT if the call's deadline passes first.
        """
        while time.monotonic() < run.call.deadline:
            sink.set_wait_reason("another run of the same content")
            await asyncio.sleep(_ADMISSION_RETRY_S)
            admission = await self.request_admission(run)
            if admission is not Admission.WAIT:
                return admission
        return Admission.WAIT

    async def request_admission(self, run: Run) -> Admission:
        """Asks the home of a call's content digest whether it may run now."""
        for host in self._cluster.digest_homes(run.call.content_digest):
            run.asked_hosts.add(host)
            reply = await self._send(host, run, "admit")
            if isinstance(reply, Success) and not reply.unwrap().failure:
                return Admission(reply.unwrap().admission)
        # Neither the home nor its standby answers. The call runs alone, so that
        # a crash can be attributed to it.
        return Admission.RUN_EXCLUSIVE

    def report_end(self, run: Run, action: str) -> None:
        """Reports the end of a run to every home asked, in the background.

        A home whose answer timed out may have admitted the run too. If it is
        not told of the end, it blocks the same content until the run's lease
        expires.
        """
        for host in run.asked_hosts:
            request = self._request(run, action)
            self._background.spawn(
                self._report_until_acknowledged(host, request)
            )

    async def _report_until_acknowledged(
        self, host: str, request: SuspectRequest
    ) -> None:
        """Repeats the report of a run's end until the home acknowledges it.

        A lost report leaves the run open, and calls with the same content,
        also those of other programs, wait for it.
        """
        for _ in range(_REPORT_ATTEMPTS):
            calls = self._cluster.calls(host)
            outcome = await calls.suspect(request, _SUSPECT_TIMEOUT_S)
            if isinstance(outcome, Success):
                return
            await asyncio.sleep(_REPORT_RETRY_S)
        logs.write("run_end_not_heard", home=host)

    def _request(self, run: Run, action: str) -> SuspectRequest:
        digests = (run.call.content_digest,)
        return SuspectRequest(action, digests, run.run_id, self._cluster.host)

    async def _send(
        self, host: str, run: Run, action: str
    ) -> Result[SuspectReply, Failure]:
        request = self._request(run, action)
        calls = self._cluster.calls(host)
        return await calls.suspect(request, _SUSPECT_TIMEOUT_S)
