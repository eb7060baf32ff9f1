"""The messages of the service ``Peer``, each the mirror of a struct."""

import dataclasses
from typing import Any

from masticdale_common import Failure
from masticdale_rpc.contracts import Contract, Rpc, parse_idl


@dataclasses.dataclass(frozen=True, slots=True)
class PeerNews:
    """What a host learnt of another and passes on while it is new.

    Attributes:
        host: The other host.
        incarnation: Its process.
        revision: The configuration revision in force there.
        leaving: True once it hands its work over.
        suspect: It did not answer its neighbours' heartbeats.
        version: Rises with each change within an incarnation.
        domain: Its failure domain.
        accusers: The neighbours it did not answer, two at most.
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
    """What a host says about itself.

    Attributes:
        host: Its name.
        domain: Its failure domain.
        incarnation: Differs after each restart; a later one sorts higher.
        revision: The configuration revision in force there.
        leaving: True once it hands its work over.
        quarantine_version: Version of its list of given-up requests.
        news: What it learnt of other hosts lately.
        version: Rises with each change within an incarnation.
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
    """One caller operation on its way to the program's owner.

    Attributes:
        operation: JSON of the operation.
        workspace: The caller's workspace.
        deadline_ms: Milliseconds left when it was sent.
        origin: The host that sends it.
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
    """Asks for the text of a turn from an offset on.

    Attributes:
        program_id: The program.
        request_id: The request whose answer is read.
        offset: Characters the reader already has.
        wait_ms: How long to wait for new text.
        attempt: Attempt that these characters belong to.
        workspace: The reader's workspace.
    """

    program_id: str
    request_id: str
    offset: int
    wait_ms: int
    attempt: int = 0
    workspace: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReply:
    """Text from an offset on.

    Attributes:
        text: New characters.
        done: True once the outcome is final.
        result: JSON of the outcome, once done without a failure.
        failure: The call's final failure, or the read's own.
        attempt: The present attempt; another one restarts the text.
        offset: Characters of the attempt before the text.
        refused: True where the failure is of the read, not the outcome.
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
    """Names the prefix that a call builds on.

    Attributes:
        branch_id: Branch of the program.
        template_digest: Digest of the shared first part of the prompt.
        template_tokens: Tokens of that part.
        parent_id: Branch this one was opened from; empty for none.
        parent_tokens: Tokens of the history it began with.
    """

    branch_id: str = ""
    template_digest: str = ""
    template_tokens: int = 0
    parent_id: str = ""
    parent_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TicketRequest:
    """Asks a replica's home for a place in the replica's queue.

    Attributes:
        ticket_id: Names the place in later messages.
        replica: The replica.
        origin: The host that waits for the grant.
        workspace: The caller's workspace.
        priority: Smaller is served first.
        attained_s: Service the program has had, in seconds.
        waited_ms: Time since the call was first queued anywhere.
        deadline_ms: Milliseconds left.
        prompt_tokens: Length of the prompt.
        uncached_tokens: Part of it that the replica has to compute.
        max_tokens: Most tokens to generate.
        program_id: The program.
        content_digest: Digest of the request's content.
        exclusive: Run with nothing else in flight.
        prefix: The prefix it builds on.
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
    """Granted at once, or the wait to expect; a grant carries its fencing."""

    granted: bool = False
    expected_wait_ms: int = 0
    fencing: int = 0
    failure: Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TicketRelease:
    """Gives a ticket back, with what the call took."""

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
    """Asks a replica's home how long a call would wait there."""

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
    """The wait to expect, what of the prompt is cached, the speeds learnt."""

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
    """Asks for configuration revisions after a number."""

    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionsReply:
    """Revisions in order, or a snapshot where they are no longer held."""

    newest: int = 0
    revisions: tuple[bytes, ...] = ()
    snapshot: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class CopyRequest:
    """Records to hold while the platform's service is down.

    Attributes:
        shard: The shard.
        epoch: The owner's epoch.
        sequence: Number of the last record.
        records: The records.
        drained: Records up to the sequence are in the platform.
    """

    shard: int
    epoch: int
    sequence: int
    records: bytes = b""
    drained: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CopyReply:
    """Whether the records are held."""

    held: bool = False
    failure: Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SealRequest:
    """Refuses copies of epochs smaller than this one from now on."""

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class SealReply:
    """The batches held for the shard, from the first sequence on."""

    batches: tuple[bytes, ...] = ()
    first_sequence: int = 0
    failure: Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectRequest:
    """Asks or tells the home of a content digest about its runs.

    Attributes:
        action: ``admit``, ``succeeded``, ``ended`` or ``crashed``.
        digests: One digest, or all that a crash may be due to.
        run_id: The run it is about.
        origin: Host of the owner that runs it.
    """

    action: str
    digests: tuple[str, ...]
    run_id: str
    origin: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectReply:
    """How the content may run: an ``Admission`` of the routing library."""

    admission: str = ""
    failure: Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StatesRequest:
    """Asks a shard's owner which programs are gone."""

    program_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StatesReply:
    """The programs that ended or that the owner does not know."""

    gone_ids: tuple[str, ...] = ()
    failure: Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramsRequest:
    """An operator's question to a host about the programs it owns.

    Attributes:
        program_id: Only this one; empty for a list.
        workspace: Only this workspace's; empty for all.
        state: Only those in this state; empty for all.
        after: Only ids that sort after this one.
        limit: Most programs returned.
        stop: End the named program.
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
    """Tells waiting hosts that their tickets are granted."""

    ticket_ids: tuple[str, ...]
    replica: str
    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class Empty:
    """Nothing but that the call was taken."""


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
