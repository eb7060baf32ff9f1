"""A routed request, and the interfaces that the data path depends on."""

import asyncio
import dataclasses
import hashlib
from typing import TYPE_CHECKING, Protocol

from returns.result import Result

from masticdale_common import Failure
from masticdale_gateway.bodies import BodyLimits
from masticdale_gateway.codec import RequestMetadata
from masticdale_gateway.messages import Request
from masticdale_routing import versions
from masticdale_routing.assignments import TurnEnd, TurnPrompt
from masticdale_routing.crashes import target_key
from masticdale_routing.routes import Route, RouteKind, Service
from masticdale_routing.versions import StreamOrigin
from masticdale_workspaces import UsageClaim, Workspace

if TYPE_CHECKING:
    from masticdale_gateway.kept_turns import KeptTurn

# Length of a content digest. Callers choose the content, so that a collision
# must be hard to find.
_DIGEST_BYTES = 16


@dataclasses.dataclass(slots=True)
class Call:
    """A routed request.

    Attributes:
        request: The caller's request.
        metadata: The values of its headers.
        route: The route that it matches.
        service: The service that executes it.
        deadline_at: Deadline of the complete response, in loop seconds.
        replica_ids: Replicas that it was sent to, in order.
        events: Number of stream events forwarded to the caller.
        assigned_replica_id: The replica that the program's shard owner has
            assigned; empty for none.
        completed_replica_id: The replica whose response was forwarded whole.
        failed_replica_ids: Replicas at which attempts failed, in order.
        event_interval_s: Mean time between two events forwarded, in seconds; 0
            if unknown.
        workspace: The workspace of the caller; None for an anonymous request.
        version: Version of the configuration by which it was routed.
        possible_runs: Number of attempts that a replica may have executed.
        suspected_keys: The ``suspicion_keys`` that were suspected of ending
            replicas as the last attempt was sent.
        trial_keys: The ``suspicion_keys`` that are held back, and for which
            this is the one run that may show whether they still end replicas.
        kept_turn: The turn to record; None if its history is not kept.
        origin: Where the first event of the stream came from; None before it
            and for other calls.
    """

    request: Request
    metadata: RequestMetadata
    route: Route
    service: Service
    deadline_at: float
    replica_ids: list[str] = dataclasses.field(default_factory=list)
    events: int = 0
    assigned_replica_id: str = ""
    completed_replica_id: str = ""
    failed_replica_ids: list[str] = dataclasses.field(default_factory=list)
    event_interval_s: float = 0.0
    workspace: Workspace | None = None
    version: int = 0
    possible_runs: int = 0
    suspected_keys: tuple[str, ...] = ()
    trial_keys: tuple[str, ...] = ()
    kept_turn: "KeptTurn | None" = None
    origin: StreamOrigin | None = None
    _content_digest: str = dataclasses.field(default="", init=False, repr=False)

    @property
    def content_digest(self) -> str:
        """Identifies what is asked, whatever request, program or host asks it.

        Equal for requests of one workspace with the same method, host, target
        and body.
        """
        if not self._content_digest:
            request = self.request
            self._content_digest = _digest(
                self.workspace_name.encode(),
                request.method,
                request.host.encode(),
                request.target,
                request.body,
            )
        return self._content_digest

    @property
    def suspicion_keys(self) -> tuple[str, ...]:
        """What may be blamed if a replica ends while it runs the call.

        The content, and the target with any content: copies of a fatal turn
        have the same target, but their prompts differ in the last part.
        """
        if not self.request.body:
            return (self.content_digest,)
        target = target_key(
            _digest(
                self.workspace_name.encode(),
                self.request.method,
                self.request.host.encode(),
                self.request.target,
            )
        )
        return (self.content_digest, target)

    @property
    def workspace_name(self) -> str:
        """Name of the caller's workspace; empty for none."""
        return self.workspace.name if self.workspace else ""

    @property
    def session_key(self) -> str:
        """Names the session of a program's turn; empty for none."""
        metadata = self.metadata
        if not metadata.session_id:
            return ""
        parts = (self.workspace_name, metadata.program_id, metadata.session_id)
        return "/".join(parts)

    @property
    def turn_end(self) -> TurnEnd:
        """How the call has ended at the replicas."""
        return TurnEnd(
            self.completed_replica_id,
            tuple(self.failed_replica_ids),
            self.event_interval_s,
        )

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline; negative after it."""
        return self.deadline_at - asyncio.get_running_loop().time()

    @property
    def hold_s(self) -> float:
        """For how long the caller can hold the stream, in seconds.

        A caller that sends no deadline counts as one that waits for the
        timeout of the route.
        """
        deadline_s = self.metadata.deadline_s
        if deadline_s is None:
            deadline_s = self.route.timeout_s
        return versions.hold_s(deadline_s)

    @property
    def is_stream(self) -> bool:
        """Whether the response is an event stream."""
        return self.route.kind is RouteKind.STREAMING

    @property
    def keeps_history(self) -> bool:
        """Whether the call is a turn that later ones may continue."""
        return self.is_stream and self.route.retention_s is not None

    @property
    def is_retriable(self) -> bool:
        """Whether the request may be executed more than once."""
        if self.is_stream:
            return self.route.is_resumable
        return self.route.kind is RouteKind.IDEMPOTENT

    @property
    def placement_key(self) -> str | None:
        """Key that selects the replica of a stream; None for unary calls."""
        if not self.is_stream:
            return None
        metadata = self.metadata
        return metadata.program_id or metadata.prefix_key or metadata.stream_id


def _digest(*parts: bytes) -> str:
    state = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        # The length keeps ("ab", "c") apart from ("a", "bc").
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.hexdigest()


_NO_PROMPT = TurnPrompt(service="")


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionClaim:
    """What a request needs before it may be sent to a replica.

    A turn claims tokens of its program's budget. Any request may count against
    the usage cap of its workspace.

    Attributes:
        program_id: The program; empty for none.
        request_id: Id of the caller's request. A claim repeated under it while
            the turn is in flight reserves nothing more.
        budget_tokens: Total budget of the program.
        turn_tokens: Maximum number of tokens that the turn uses.
        prompt: What the turn needs of a replica.
        workspace: Name of the caller's workspace; empty for none.
        usage: The cap that the request counts against; None for none.
        is_turn: Whether it claims tokens.
    """

    program_id: str
    request_id: str
    budget_tokens: int
    turn_tokens: int
    prompt: TurnPrompt = _NO_PROMPT
    workspace: str = ""
    usage: UsageClaim | None = None
    is_turn: bool = True

    @property
    def shard_key(self) -> str:
        """Key whose hash selects the shard that decides.

        The programs of a workspace share its shard, so that one call admits a
        turn and counts it against the cap.
        """
        return self.workspace or self.program_id


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """An admitted turn.

    Attributes:
        replica_id: The replica to which the turn should be sent, as far as the
            owner of the program's shard knows; empty if it names none.
    """

    replica_id: str = ""


class BudgetLedger(Protocol):
    """Keeps programs within their budgets and workspaces within their caps."""

    async def admit(
        self, claim: AdmissionClaim, deadline_at: float
    ) -> Result[Admission, Failure]:
        """Reserves the tokens that a turn may use; counts the request.

        A request that is not admitted must not be sent to a replica.

        Returns:
            The admission, or BUDGET_EXCEEDED if the budget is spent,
            LIMIT_REACHED if the usage cap is, or LEDGER_UNAVAILABLE if that
            can't be determined.
        """
        ...

    def settle(
        self, claim: AdmissionClaim, used_tokens: int, end: TurnEnd
    ) -> None:
        """Reports the tokens that a turn has used, and how it ended."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class RelaySettings:
    """Limits of the data path.

    Attributes:
        first_event_timeout_s: Time limit for the first event of an attempt
            that another one may follow. The stream is then requested again on
            a new connection, since a connection can go silent while its
            replica works. Must be shorter than callers wait for the first
            event, 2 to 3 s.
        next_event_timeout_s: The same limit between two events.
        retriable_response_timeout_s: Time limit for the head of the response to
            a unary request that may be sent again.
        non_retriable_max_idle_s: Maximum idle time of a connection for a
            request that must not be executed twice. If the connection was
            dropped meanwhile, the outcome of the request is unknown.
        max_total_attempts: Maximum number of attempts of one request.
        body_limits: Limits on the responses that are buffered whole: all that
            are no streams.
    """

    first_event_timeout_s: float = 1.5
    next_event_timeout_s: float = 1.0
    retriable_response_timeout_s: float = 0.4
    non_retriable_max_idle_s: float = 1.0
    max_total_attempts: int = 5
    body_limits: BodyLimits = dataclasses.field(default_factory=BodyLimits)
