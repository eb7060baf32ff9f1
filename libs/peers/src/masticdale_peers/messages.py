"""Messages of the ``Peer`` service.

Each data class has the name and the fields of a struct in ``peer.thrift``.
"""

import dataclasses
from typing import Any

from masticdale_common import Failure
from masticdale_rpc.contracts import Contract, Rpc, parse_idl


@dataclasses.dataclass(frozen=True, slots=True)
class PeerNews:
    """A gossip update about another host.

    Attributes:
        host: Name of that host.
        incarnation: Incarnation of its process; see ``Heartbeat``.
        revision: Configuration revision in force there.
        leaving: Whether it is handing off its work.
        suspect: Whether a neighbour got no reply to its heartbeats.
        version: Increases with each change within an incarnation.
        domain: Failure domain of the host.
        accusers: Neighbours that got no reply, two at most.
    """

    host: str
    incarnation: str
    revision: int = 0
    leaving: bool = False
    suspect: bool = False
    version: int = 0
    domain: str = ""
    accusers: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """State of the sending host.

    Attributes:
        host: Name of the host.
        domain: Failure domain of the host.
        incarnation: Id of its process; later ones sort higher.
        revision: Configuration revision in force there.
        leaving: Whether it is handing off its work.
        quarantine_version: Unused.
        news: Gossip updates about other hosts.
        version: Increases with each change within an incarnation.
    """

    host: str
    domain: str
    incarnation: str
    revision: int = 0
    leaving: bool = False
    quarantine_version: int = 0
    news: tuple[PeerNews, ...] = ()
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The called host's own heartbeat."""

    beat: Heartbeat


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A caller's operation, forwarded to the owner of its program.

    Attributes:
        operation: JSON of the operation.
        workspace: Workspace of the caller.
        deadline_ms: Time left when it was sent, in milliseconds.
        origin: Host that forwards it.
    """

    operation: str
    workspace: str
    deadline_ms: int
    origin: str


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitReply:
    """The operation's result as JSON, or why there is none."""

    result: str = ""
    failure: Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequest:
    """Reads the text of a turn from an offset.

    Attributes:
        program_id: Id of the program.
        request_id: Id of the request whose text is read.
        offset: Number of characters the reader already has.
        wait_ms: Maximum time to wait for new text, in milliseconds.
        attempt: Attempt that produced these characters.
        workspace: Workspace of the reader.
    """

    program_id: str
    request_id: str
    offset: int
    wait_ms: int
    attempt: int = 0
    workspace: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReply:
    """Text of a turn from an offset.

    Attributes:
        text: New characters.
        done: Whether the outcome is final.
        result: JSON of the outcome, if done without a failure.
        failure: Final failure of the call, or failure of this read.
        attempt: Current attempt; the text restarts with each attempt.
        offset: Number of characters of the attempt before ``text``.
        refused: Whether ``failure`` concerns the read, not the call.
    """

    text: str = ""
    done: bool = False
    result: str = ""
    failure: Failure | None = None
    attempt: int = 0
    offset: int = 0
    refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixNote:
    """Identifies the cached prompt prefix that a call can reuse.

    Attributes:
        branch_id: Branch of the program.
        template_digest: Digest of the shared first part of the prompt.
        template_tokens: Number of tokens of that part.
        parent_id: Branch from which this one was opened; empty for none.
        parent_tokens: Number of tokens of the history inherited from it.
    """

    branch_id: str = ""
    template_digest: str = ""
    template_tokens: int = 0
    parent_id: str = ""
    parent_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TicketRequest:
    """Queues a call at the home of a replica.

    Attributes:
        ticket_id: Id of the queue entry in later messages.
        replica: Name of the replica.
        origin: Host that waits for the grant.
        workspace: Workspace of the caller.
        priority: Priority; smaller values are served first.
        attained_s: Service time the program has had, in seconds.
        waited_ms: Time since the ticket was first offered, in milliseconds.
        deadline_ms: Time left, in milliseconds.
        prompt_tokens: Length of the prompt.
        uncached_tokens: Prompt tokens that the replica must compute.
        max_tokens: Maximum number of tokens to generate.
        program_id: Id of the program.
        content_digest: Digest of the request's content.
        exclusive: Whether the call must run alone on the replica.
        prefix: Prompt prefix that the call can reuse.
    """

    ticket_id: str
    replica: str
    origin: str
    workspace: str
    priority: int
    attained_s: float
    waited_ms: int
    deadline_ms: int
    prompt_tokens: int
    uncached_tokens: int
    max_tokens: int
    program_id: str
    content_digest: str
    exclusive: bool = False
    prefix: PrefixNote = PrefixNote()


@dataclasses.dataclass(frozen=True, slots=True)
class TicketReply:
    """A grant, the expected wait, or a failure.

    Attributes:
        granted: Whether the call may be sent.
        expected_wait_ms: Expected wait, in milliseconds.
        fencing: Unused.
        failure: Why the ticket was refused; None otherwise.
    """

    granted: bool = False
    expected_wait_ms: int = 0
    fencing: int = 0
    failure: Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TicketRelease:
    """Returns a ticket and reports the resources that the call used."""

    ticket_id: str
    replica: str
    crashed: bool = False
    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0
    service_ms: int = 0
    first_token_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks a replica's home for the expected wait of a call."""

    replica: str
    program_id: str
    branch_id: str
    prompt_tokens: int
    priority: int
    prefix: PrefixNote = PrefixNote()
    max_tokens: int = 0
    workspace: str = ""
    attained_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeReply:
    """The expected wait, the cached part of the prompt and the speeds."""

    expected_wait_ms: int = 0
    cached_tokens: int = 0
    usable: bool = False
    failure: Failure | None = None
    prefill_tokens_per_s: float = 0.0
    decode_tokens_per_s: float = 0.0
    in_flight: int = 0
    residence_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionsRequest:
    """Requests the configuration revisions after a given number."""

    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionsReply:
    """Revisions in order, or a snapshot if they are no longer available."""

    newest: int = 0
    revisions: tuple[bytes, ...] = ()
    snapshot: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class CopyRequest:
    """Replicates records of a shard during an outage of the platform.

    Attributes:
        shard: Number of the shard.
        epoch: Epoch of the shard's owner.
        sequence: Number of the newest commit sent; without commits, of the
            one before. Not read.
        records: The encoded records.
        drained: Unused.
    """

    shard: int
    epoch: int
    sequence: int
    records: bytes = b""
    drained: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CopyReply:
    """Whether the peer keeps the records."""

    held: bool = False
    failure: Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SealRequest:
    """Fences a shard: copies of smaller epochs are refused from now on."""

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class SealReply:
    """The batches kept for the shard.

    Attributes:
        batches: The encoded batches.
        first_sequence: Number of the commit before the first entry; not read.
        failure: Why the shard was not sealed; None otherwise.
    """

    batches: tuple[bytes, ...] = ()
    first_sequence: int = 0
    failure: Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectRequest:
    """Requests admission of a run, or reports its end, at a digest's home.

    Attributes:
        action: ``admit``, ``succeeded``, ``ended`` or ``crashed``.
        digests: Content digest of the run, or all digests that may have
            caused a crash.
        run_id: Id of the run.
        origin: Host that runs it.
    """

    action: str
    digests: tuple[str, ...]
    run_id: str
    origin: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectReply:
    """Whether and how the content may run: an ``Admission`` value."""

    admission: str = ""
    failure: Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StatesRequest:
    """Asks a shard's owner which programs no longer exist."""

    program_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StatesReply:
    """The programs that have ended or are unknown to the owner."""

    gone_ids: tuple[str, ...] = ()
    failure: Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramsRequest:
    """An operator's query for the programs that a host owns.

    Attributes:
        program_id: Id of a single program; empty for a list.
        workspace: Workspace to filter by; empty for all.
        state: State to filter by; empty for all.
        after: Return only ids that sort after this one.
        limit: Maximum number of programs to return.
        stop: Whether to end the program ``program_id``.
    """

    program_id: str = ""
    workspace: str = ""
    state: str = ""
    after: str = ""
    limit: int = 0
    stop: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramsReply:
    """The programs, each as JSON, sorted by id."""

    details: tuple[str, ...] = ()
    failure: Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class GrantNotice:
    """Notifies a waiting host that its tickets are granted."""

    ticket_ids: tuple[str, ...]
    replica: str
    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class Empty:
    """An empty reply."""


HEARTBEAT = Rpc("heartbeat", Heartbeat, HeartbeatReply)
SUBMIT = Rpc("submit", Submission, SubmitReply)
READ = Rpc("read", ReadRequest, ReadReply)
ENQUEUE = Rpc("enqueue", TicketRequest, TicketReply)
RELEASE = Rpc("release", TicketRelease, Empty)
WITHDRAW = Rpc("withdraw", TicketRelease, Empty)
GRANT = Rpc("grant", GrantNotice, Empty)
PROBE = Rpc("probe", ProbeRequest, ProbeReply)
REVISIONS = Rpc("revisions", RevisionsRequest, RevisionsReply)
PUT_COPY = Rpc("put_copy", CopyRequest, CopyReply)
SEAL_COPIES = Rpc("seal_copies", SealRequest, SealReply)
SUSPECT = Rpc("suspect", SuspectRequest, SuspectReply)
STATES = Rpc("states", StatesRequest, StatesReply)
PROGRAMS = Rpc("programs", ProgramsRequest, ProgramsReply)

ALL_RPCS: tuple[Rpc[Any, Any], ...] = (
    HEARTBEAT,
    SUBMIT,
    READ,
    ENQUEUE,
    RELEASE,
    WITHDRAW,
    GRANT,
    PROBE,
    REVISIONS,
    PUT_COPY,
    SEAL_COPIES,
    SUSPECT,
    STATES,
    PROGRAMS,
)

PEER = Contract(
    lambda: parse_idl("masticdale_peers", "peer.thrift", "Peer"),
    ALL_RPCS,
    (PrefixNote, PeerNews),
)
to_wire = PEER.to_wire
from_wire = PEER.from_wire
