// Messages between hosts about program budgets, and store calls made for a
// host that can't reach the store itself.

struct WireFailure {
  1: string kind,
  2: string detail,
  3: i64 retry_after_ms,   // -1: the kind's own
  4: string host,
}

struct HostAddress {
  1: string address,         // IP address and port for other hosts
  2: i64 port,
  3: string failure_domain,
}

struct AdmitRequest {
  1: i64 shard,
  2: string program_id,
  3: string request_id,
  4: i64 budget_tokens,
  5: i64 turn_tokens,
  6: HostAddress asker,
  7: bool asker_stops,       // must not become a standby or an owner
  8: string service_name,    // that runs the turn
  9: string prefix_key,      // of the first part of its prompt
  10: bool is_call,          // no turn: claims no tokens
  11: string workspace,      // empty: none
  12: double cap_rate_per_s, // 0: counts against no cap
  13: double cap_burst,
  14: i64 cap_version,       // of the configuration that states the cap
}

struct FailureReport {
  1: string replica_id,
  2: double age_s,           // since it failed a request of any host
}

struct AdmitReply {
  1: optional WireFailure failure,
  2: string replica_id,      // assigned to the turn; a hint
  3: list<FailureReport> replica_failures,
}

struct Settlement {
  1: i64 shard,
  2: string program_id,
  3: string request_id,
  4: i64 used_tokens,
  5: string replica_id,      // that completed the turn
  6: list<string> failed_replica_ids,
  7: double event_interval_s, // mean time between two events; 0: unknown
}

struct SettleRequest {
  1: list<Settlement> settlements,
  2: list<FailureReport> replica_failures,
}

struct SettleReply {
  1: list<i64> other_shards, // whose settlements were not applied
}

struct UsageLevel {
  1: string workspace,
  2: double rate_per_s,
  3: double burst,
  4: i64 version,            // of the configuration that states the cap
  5: double level,           // requests left; negative after an overdraft
}

struct AccountState {
  1: string program_id,
  2: i64 budget_tokens,
  3: i64 spent_tokens,
  4: bool counts_from_start,
  5: i64 bound_tokens,
  6: i64 bound_version,      // 0: no record in the store
  7: list<string> reserved_ids,
  8: list<i64> reserved_tokens,
  9: i64 most_tokens,        // largest turn_tokens of any request
}

struct HandOver {
  1: i64 shard,
  2: i64 version,            // of the shard's object as the owner has written it
  3: list<AccountState> accounts,
  4: double incomplete_for_s, // for which unknown programs may have had turns
  5: list<UsageLevel> usages,
  6: double usage_incomplete_for_s, // for which other levels may be missing
  7: double usage_shared_for_s, // for which another host may count as well
}

struct CopyRequest {
  1: i64 shard,
  2: i64 epoch,
  3: bool is_snapshot,       // all accounts; replaces the copy
  4: list<AccountState> accounts,
  5: double incomplete_for_s,
  6: bool owner_has_store,   // so it may name another standby at any time
  7: bool renews,            // a copy of this epoch may have arrived before
  8: list<UsageLevel> usages, // less what the owner may grant before the next
  9: double usage_incomplete_for_s,
}

struct CopyReply {
  1: bool held,
  2: bool sealed,            // the epoch is sealed or superseded
  3: bool stops,             // the standby is stopping and must be replaced
}

struct SealRequest {
  1: i64 shard,
  2: i64 epoch,
}

struct SealReply {
  1: bool held,              // a copy of the epoch; if not, accounts are lost
  2: list<AccountState> accounts,
  3: double incomplete_for_s,
  4: bool acted,             // was acting owner; includes the owner's quotas
  5: list<UsageLevel> usages,
  6: double usage_incomplete_for_s,
}

struct HandOverReply {
  1: optional WireFailure failure,
}

struct AppointRequest {
  1: i64 shard,
  2: i64 epoch,
}

struct AppointReply {
  1: bool accepted,
}

struct DecideRequest {
  1: i64 shard,
  2: i64 epoch,
  3: string side,            // owner, standby or taker (the successor)
}

struct DecideReply {
  1: string side,            // decided for; empty if the epoch is unknown
}

struct StoreItem {
  1: string key,
  2: i64 version,
  3: string value,
}

struct StoreRequest {
  1: string operation,       // read, write, delete, list, watch or follow
  2: string key,
  3: string value,
  4: i64 version,
  5: i64 position,
  6: i64 wait_ms,
}

struct StoreReply {
  1: list<StoreItem> items,
  2: list<string> deleted_keys,
  3: i64 position,
  4: bool is_snapshot,
  5: i64 version,
  6: optional WireFailure failure,
  7: i64 age_ms,
}

struct CrashReport {
  1: string content,         // digest
  2: list<string> ended,     // incarnations of replicas that ended running it
  3: list<string> ended_again, // of them, those sent it as a suspect
  4: list<string> cleared,   // those it is no longer blamed for
}

struct CrashNotice {
  1: string host,
  2: list<CrashReport> reports,
}

struct CrashNoticeRequest {
  1: list<CrashNotice> notices,
  2: bool forward,           // to the hosts that the called one knows
}

struct CrashNoticeReply {
  1: bool is_news,
}

struct StreamOrigin {
  1: string request_id,      // that brought the stream's first event
  2: string service_name,
  3: string software_version,
  4: string replica_id,
  5: string session_key,     // of the session that it belongs to
  6: double hold_s,          // how long its caller can hold it; 0: unknown
}

struct NoteStreamsRequest {
  1: list<StreamOrigin> origins,
}

struct NoteStreamsReply {
  1: bool remembered,
}

struct FindStreamRequest {
  1: string stream_key,      // of the request that began it, or of its session
  2: string service_name,
}

struct SeenVersion {
  1: string version,
  2: double age_s,           // since it was last listed
}

struct FindStreamReply {
  1: list<StreamOrigin> origins, // empty: unknown
  2: list<string> versions,  // of the service, within a stream's lifetime
  3: bool versions_complete, // no other version can have served
  4: double watched_s,       // how long the list was watched without a gap
  5: list<SeenVersion> seen, // of the service, also before that lifetime
}

service Ledger {
  AdmitReply admit(1: AdmitRequest request),
  SettleReply settle(1: SettleRequest request),
  HandOverReply hand_over(1: HandOver request),
  CopyReply copy(1: CopyRequest request),
  SealReply seal(1: SealRequest request),
  AppointReply appoint(1: AppointRequest request),
  DecideReply decide(1: DecideRequest request),
  StoreReply store(1: StoreRequest request),
  CrashNoticeReply notify_crashes(1: CrashNoticeRequest request),
  NoteStreamsReply note_streams(1: NoteStreamsRequest request),
  FindStreamReply find_stream(1: FindStreamRequest request),
}
