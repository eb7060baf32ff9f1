// Messages between entry hosts and storage hosts, and among storage hosts,
// about the histories of turns.

struct WireFailure {
  1: string kind,
  2: string detail,
  3: i64 retry_after_ms,   // -1: the kind's own
  4: string host,
}

struct TurnKey {
  1: string workspace,     // empty: none
  2: string turn_id,
}

struct TurnRecord {
  1: string turn_id,
  2: string workspace,     // empty: none
  3: string previous_id,   // empty at the start of a chain
  4: string chain_key,     // selects the hosts of the whole chain
  5: binary input,         // the caller's new input
  6: binary output,        // data of each event, each followed by a line feed
  7: i64 ended_at_ms,      // wall clock
  8: i64 retention_ms,     // from then on
}

struct AppendTurnsRequest {
  1: list<TurnRecord> records, // of one chain, oldest first
}

struct AppendTurnsReply {
  1: optional WireFailure failure, // none: all are synced
}

struct ReadChainRequest {
  1: string workspace,
  2: string turn_id,
}

struct ReadChainReply {
  1: optional WireFailure failure,
  2: list<TurnRecord> records, // oldest first; empty: absent
  3: bool is_complete,         // the disk has lost no record
}

struct OfferTurnsRequest {
  1: string host,          // that offers them
  2: list<TurnKey> keys,
}

struct OfferTurnsReply {
  1: optional WireFailure failure,
  2: list<i64> missing,    // indexes of these turns in the request
}

struct FinishRepairRequest {
  1: string host,          // that has finished
  2: string disk_id,       // of the called host, that the repair was for
}

struct FinishRepairReply {
  1: optional WireFailure failure,
}

struct CheckRequest {
  1: string host,          // that asks; may be empty
}

struct CheckReply {
  1: string disk_id,
  2: bool is_complete,
  3: bool is_full,         // takes no more records
  4: bool is_emptying,     // is about to be removed
}

service History {
  AppendTurnsReply append_turns(1: AppendTurnsRequest request),
  ReadChainReply read_chain(1: ReadChainRequest request),
  OfferTurnsReply offer_turns(1: OfferTurnsRequest request),
  FinishRepairReply finish_repair(1: FinishRepairRequest request),
  CheckReply check(1: CheckRequest request),
}
