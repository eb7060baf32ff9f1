// Messages between hosts. No call waits longer than ReadRequest.wait_ms.

struct WireFailure {
  1: string kind,
  2: string detail,
  3: i32 retry_after_ms,   // -1: default of the kind
  4: string host,
}

// A gossip update about another host.
struct PeerNews {
  1: string host,
  2: string incarnation,
  3: i64 revision,
  4: bool leaving,
  5: bool suspect,
  6: i64 version,           // increases with each change within an incarnation
  7: string domain,
  8: list<string> accusers, // neighbours that got no reply, two at most
}

struct Heartbeat {
  1: string host,
  2: string domain,
  3: string incarnation,
  4: i64 revision,          // configuration revision in force
  5: bool leaving,
  6: i64 quarantine_version,
  7: list<PeerNews> news,
  8: i64 version,           // increases with each change within an incarnation
}

struct HeartbeatReply {
  1: Heartbeat beat,
}

struct Submission {
  1: string operation,      // JSON of one caller operation
  2: string workspace,
  3: i64 deadline_ms,       // time left when sent
  4: string origin,         // host that forwards it
}

struct SubmitReply {
  1: string result,         // JSON of the operation's result
  2: optional WireFailure failure,
}

struct ReadRequest {
  1: string program_id,
  2: string request_id,
  3: i64 offset,            // characters the reader already has
  4: i32 wait_ms,
  5: i64 attempt,           // attempt these characters belong to
  6: string workspace,
}

struct ReadReply {
  1: string text,
  2: bool done,
  3: string result,         // JSON of the outcome, once done
  4: optional WireFailure failure,
  5: i64 attempt,           // the text restarts with each attempt
  6: i64 offset,            // characters before the text
  7: bool refused,          // the failure concerns the read, not the call
}

// Identifies the cached prompt prefix that a call can reuse.
struct PrefixNote {
  1: string branch_id,
  2: string template_digest,
  3: i64 template_tokens,
  4: string parent_id,
  5: i64 parent_tokens,
}

struct TicketRequest {
  1: string ticket_id,
  2: string replica,
  3: string origin,
  4: string workspace,
  5: i32 priority,          // smaller is served first
  6: double attained_s,     // service time the program has had
  7: i64 waited_ms,         // since the call was first queued on any replica
  8: i64 deadline_ms,
  9: i64 prompt_tokens,
  10: i64 uncached_tokens,
  11: i32 max_tokens,
  12: string program_id,
  13: string content_digest,
  14: bool exclusive,       // run alone on the replica
  15: PrefixNote prefix,
}

struct TicketReply {
  1: bool granted,
  2: i64 expected_wait_ms,
  3: i64 fencing,
  4: optional WireFailure failure,
}

struct TicketRelease {
  1: string ticket_id,
  2: string replica,
  3: bool crashed,
  4: i64 prompt_tokens,
  5: i64 cached_tokens,
  6: i64 generated_tokens,
  7: i64 service_ms,
  8: i64 first_token_ms,    // 0: unknown
}

struct ProbeRequest {
  1: string replica,
  2: string program_id,
  3: string branch_id,
  4: i64 prompt_tokens,
  5: i32 priority,
  6: PrefixNote prefix,
  7: i32 max_tokens,
  8: string workspace,
  9: double attained_s,
}

struct ProbeReply {
  1: i64 expected_wait_ms,
  2: i64 cached_tokens,
  3: bool usable,
  4: optional WireFailure failure,
  5: double prefill_tokens_per_s,
  6: double decode_tokens_per_s,
  7: i32 in_flight,
  8: i64 residence_ms,      // time until an unused token is evicted; 0: no evictions
}

struct RevisionsRequest {
  1: i64 after,
}

struct RevisionsReply {
  1: i64 newest,
  2: list<binary> revisions,
  3: binary snapshot,
}

struct CopyRequest {
  1: i32 shard,
  2: i64 epoch,
  3: i64 sequence,
  4: binary records,
  5: bool drained,          // the platform has stored records up to sequence
}

struct CopyReply {
  1: bool held,
  2: optional WireFailure failure,
}

struct SealRequest {
  1: i32 shard,
  2: i64 epoch,             // copies of smaller epochs are refused from now on
}

struct SealReply {
  1: list<binary> batches,
  2: i64 first_sequence,
  3: optional WireFailure failure,
}

struct SuspectRequest {
  1: string action,         // admit, succeeded, ended, crashed
  2: list<string> digests,
  3: string run_id,
  4: string origin,         // host that runs it
}

struct SuspectReply {
  1: string admission,      // run, run_exclusive, wait, refused
  2: optional WireFailure failure,
}

struct StatesRequest {
  1: list<string> program_ids,
}

struct StatesReply {
  1: list<string> gone_ids, // ended or unknown to the shard's owner
  2: optional WireFailure failure,
}

struct ProgramsRequest {
  1: string program_id,     // single program; empty for a list
  2: string workspace,      // filter; empty for all
  3: string state,          // filter; empty for all
  4: string after,          // return only ids that sort after this one
  5: i32 limit,
  6: bool stop,             // end the named program
}

struct ProgramsReply {
  1: list<string> details,  // JSON, one program each
  2: optional WireFailure failure,
}

struct GrantNotice {
  1: list<string> ticket_ids,
  2: string replica,
  3: i64 fencing,
}

struct Empty {
}

service Peer {
  HeartbeatReply heartbeat(1: Heartbeat beat),
  SubmitReply submit(1: Submission submission),
  ReadReply read(1: ReadRequest request),
  TicketReply enqueue(1: TicketRequest request),
  Empty release(1: TicketRelease release),
  Empty withdraw(1: TicketRelease release),
  Empty grant(1: GrantNotice notice),
  ProbeReply probe(1: ProbeRequest request),
  RevisionsReply revisions(1: RevisionsRequest request),
  CopyReply put_copy(1: CopyRequest request),
  SealReply seal_copies(1: SealRequest request),
  SuspectReply suspect(1: SuspectRequest request),
  StatesReply states(1: StatesRequest request),
  ProgramsReply programs(1: ProgramsRequest request),
}
