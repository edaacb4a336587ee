namespace java org.endivetray.wire.gen

/** A daemon's slot limit and requests in flight at one minion. */
struct SlotCell {
  1: required string minion
  2: required i32 slotLimit
  3: required i32 inFlight
}

/** A daemon's demand for one service, sent to the owner of the service's slots. */
struct SlotReport {
  1: required string serviceName
  2: required i32 waiting
  3: required i64 appliedSeq
  4: required list<SlotCell> cells
  5: required i64 reportSeq
}

/** The slots of one service that their owner grants to a daemon. */
struct SlotGrant {
  1: required string serviceName
  2: required string owner
  3: required i64 ownerIncarnation
  4: required i64 seq
  5: required i32 ttlMillis
  6: required map<string, i32> limits
  7: required bool contended
}

/** Reports a daemon's liveness, configuration revision and stopped workers. */
struct Heartbeat {
  1: required i64 configRevision
  2: required bool stopping
  3: required map<string, i64> stoppedWorkers
  4: required map<string, i32> inFlightOfStopped
  5: required list<string> hears
  6: required string zone
  7: required string host
  8: required i32 port
}

/** A configuration record, replicated between peers. */
struct ConfigRecord {
  1: required string key
  2: required i64 revision
  3: required binary value
  4: required bool deleted
}

/** Asks a peer for the records that changed after a revision. */
struct ConfigPull {
  1: required i64 afterRevision
}

/** Replies to a ConfigPull with the changed records. */
struct ConfigPush {
  1: required i64 revision
  2: required list<ConfigRecord> records
}

/** An encoded envelope for a daemon that the sender cannot reach directly. */
struct Relay {
  1: required string target
  2: required binary payload
}

/** The scheduling parameters of a queue in the sender's configuration. */
struct QueueTerms {
  1: required string queueName
  2: required i32 priority
  3: required i32 attempts
  4: required double stretch
  5: required i64 targetLatencyMillis
  6: required bool placementAdvice
}

/** The operation that a job request asks for. */
enum JobAction {
  SUBMIT = 1
  STATE = 2
  CANCEL = 3
  PENDING = 4
}

/** A caller's request about a job, sent to the owner of the pool's jobs. */
struct JobRequest {
  1: required JobAction action
  2: required string poolName
  3: required QueueTerms terms
  4: required string jobId
  5: required binary body
  6: required bool mayForward
  7: optional string account
}

/** The outcome of a job request. */
enum JobVerdict {
  OK = 1
  REFUSED = 2
  MALFORMED = 3
  NO_SUCH_JOB = 4
  UNKNOWN = 5
  NOT_OWNER = 6
}

/** Replies to a job request. */
struct JobReply {
  1: required JobVerdict verdict
  2: required string state
  3: required i32 pending
  4: required i64 retryAfterMillis
  5: required string reason
}

/** Asks the owner of a pool's jobs to drain a minion; expires unless it is repeated soon. */
struct DrainRequest {
  1: required string poolName
  2: required string minion
  3: required bool isUrgent
}

/** Reports that an incarnation of a minion has terminated together with all runs on it. */
struct MinionGone {
  1: required string poolName
  2: required string minion
  3: optional i64 incarnationMillis
}

/** Replies to a drain request. */
struct DrainReply {
  1: required bool isOwner
  2: required bool isEmpty
  3: optional i64 incarnationMillis
}

/** Asks the owner of a pool's jobs for the pool's load. */
struct LoadRequest {
  1: required string poolName
}

/** The load of one pool. */
struct LoadReply {
  1: required bool isOwner
  2: required i64 waitingCpuMillis
  3: required i64 usedCpuMillis
  4: required i64 totalCpuMillis
  5: required list<string> emptyMinions
  6: required list<string> pinnedMinions
  7: required i32 wantedMinions
}

/** The operation that a store call asks for. */
enum StoreOperation {
  READ = 1
  LIST = 2
  WATCH = 3
  COMMIT = 4
  CREATE_LEASE = 5
  RENEW_LEASE = 6
  END_LEASE = 7
}

/** A condition that a key has a version, or the value of a key at a version. */
struct StoreItem {
  1: required string key
  2: required i64 version
  3: optional binary value
}

/** A write of a key under a lease, 0 if none. */
struct StoreWrite {
  1: required string key
  2: required binary value
  3: required i64 lease
}

/** A call of the shared store that a peer makes for a daemon that does not reach the store. */
struct StoreCall {
  1: required StoreOperation operation
  2: required string key
  3: required i64 number
  4: required i64 waitMillis
  5: required bool mayBeStale
  6: required list<StoreItem> conditions
  7: required list<StoreWrite> writes
  8: required list<string> removals
}

/** What became of a store call; NOT_REACHED means that nothing was done. */
enum StoreStatus {
  DONE = 1
  CONFLICT = 2
  NO_SUCH_LEASE = 3
  HISTORY_LOST = 4
  NOT_REACHED = 5
  UNKNOWN = 6
}

/** Replies to a store call. */
struct StoreReply {
  1: required StoreStatus status
  2: required i64 number
  3: required list<StoreItem> items
}

union Body {
  1: Heartbeat heartbeat
  2: SlotReport slotReport
  3: SlotGrant slotGrant
  4: ConfigPull configPull
  5: ConfigPush configPush
  6: Relay relay
  7: string failure
  8: JobRequest jobRequest
  9: JobReply jobReply
  10: DrainRequest drainRequest
  11: DrainReply drainReply
  12: LoadRequest loadRequest
  13: LoadReply loadReply
  14: MinionGone minionGone
  15: StoreCall storeCall
  16: StoreReply storeReply
}

/** One framed message. */
struct Envelope {
  1: required i64 id
  2: required bool isReply
  3: required string sender
  4: required i64 incarnation
  5: required Body body
}
