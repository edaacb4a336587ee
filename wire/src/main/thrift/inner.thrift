namespace java org.endivetray.wire.gen

/** What a daemon holds of one minion's slots. */
struct SlotCell {
  1: required string minion
  2: required i32 slotLimit
  3: required i32 inFlight
}

/** A daemon's demand for one service, sent to the slots' owner. */
struct SlotReport {
  1: required string serviceName
  2: required i32 waiting
  3: required i64 appliedSeq
  4: required list<SlotCell> cells
  5: required i64 reportSeq
}

/** The owner's grant for one service. */
struct SlotGrant {
  1: required string serviceName
  2: required string owner
  3: required i64 ownerIncarnation
  4: required i64 seq
  5: required i32 ttlMillis
  6: required map<string, i32> limits
  7: required bool contended
}

/** Liveness, configuration and drains of one daemon. */
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

/** A record of the configuration, passed on between peers. */
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

/** Answers a pull. */
struct ConfigPush {
  1: required i64 revision
  2: required list<ConfigRecord> records
}

/** A payload for a daemon that the sender cannot reach itself. */
struct Relay {
  1: required string target
  2: required binary payload
}

union Body {
  1: Heartbeat heartbeat
  2: SlotReport slotReport
  3: SlotGrant slotGrant
  4: ConfigPull configPull
  5: ConfigPush configPush
  6: Relay relay
  7: string failure
}

/** One framed message. */
struct Envelope {
  1: required i64 id
  2: required bool isReply
  3: required string sender
  4: required i64 incarnation
  5: required Body body
}
