"""Program shards: journaling, ordering, budgets and unrepeatable calls."""

from masticdale_programs.budgets import count_tokens
from masticdale_programs.copies import (
    CopyBatch,
    CopyEntry,
    CopyHolders,
    choose_holders,
    decode_batch,
    encode_batch,
)
from masticdale_programs.copy_store import CopyStore
from masticdale_programs.executors import (
    Executor,
    ModelCall,
    ModelResult,
    ServiceCall,
    TextSink,
)
from masticdale_programs.heads import Head, read_head
from masticdale_programs.operations import (
    Accepted,
    CallOutcome,
    CallService,
    CreateProgram,
    EndProgram,
    GetProgram,
    OpenBranch,
    Operation,
    OperationResult,
    Outcome,
    ProgramView,
    SendTurn,
    TurnOutcome,
    decode_operation,
    decode_outcome,
    decode_result,
    encode_operation,
    encode_outcome,
    encode_result,
)
from masticdale_programs.records import (
    Budget,
    EndReason,
    OutcomeStatus,
    ProgramKind,
)
from masticdale_programs.shards import Shard, open_shard
from masticdale_programs.state import MAIN_BRANCH, Program
from masticdale_programs.streams import StreamPart
from masticdale_programs.types import (
    Caller,
    KindLookup,
    RequestKey,
    ShardSettings,
)

__all__ = [
    "MAIN_BRANCH",
    "Accepted",
    "Budget",
    "CallOutcome",
    "CallService",
    "Caller",
    "CopyBatch",
    "CopyEntry",
    "CopyHolders",
    "CopyStore",
    "CreateProgram",
    "EndProgram",
    "EndReason",
    "Executor",
    "GetProgram",
    "Head",
    "KindLookup",
    "ModelCall",
    "ModelResult",
    "OpenBranch",
    "Operation",
    "OperationResult",
    "Outcome",
    "OutcomeStatus",
    "Program",
    "ProgramKind",
    "ProgramView",
    "RequestKey",
    "SendTurn",
    "ServiceCall",
    "Shard",
    "ShardSettings",
    "StreamPart",
    "TextSink",
    "TurnOutcome",
    "choose_holders",
    "count_tokens",
    "decode_batch",
    "decode_operation",
    "decode_outcome",
    "decode_result",
    "encode_batch",
    "encode_operation",
    "encode_outcome",
    "encode_result",
    "open_shard",
    "read_head",
]
