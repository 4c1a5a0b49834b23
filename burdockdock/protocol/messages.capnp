@0xd2a6c1f0b3e94a57;
# Messages that nodes exchange.

struct Message {
  union {
    hello @0 :Hello;
    welcome @1 :Welcome;
    refused @2 :Refused;
    callStart @3 :CallStart;
    callBody @4 :Body;
    callCancel @5 :CallId;
    credit @6 :Credit;
    answerHead @7 :AnswerHead;
    answerBody @8 :Body;
    callFailed @9 :CallFailed;
    outcomeQuery @10 :OutcomeQuery;
    outcome @11 :Outcome;
    ping @12 :Ping;
    ack @13 :Ping;
    pingRequest @14 :PingRequest;
    spread @15 :Spread;
    syncRequest @16 :SyncRequest;
    syncReply @17 :SyncReply;
    applied @18 :AppliedReport;
    evidence @19 :Evidence;
    quotaRequest @20 :QuotaRequest;
    quotaGrant @21 :QuotaGrant;
    relayBeat @22 :RelayBeat;
  }
}

struct Hello {
  mesh @0 :Text;
  schemaVersion @1 :UInt32;
  nodeId @2 :Text;
  incarnation @3 :UInt64;
}

struct Welcome {
  nodeId @0 :Text;
  incarnation @1 :UInt64;
}

struct Refused {
  reason @0 :Text;
  detail @1 :Text;
}

struct CallId {
  callId @0 :UInt64;
}

struct CallStart {
  callId @0 :UInt64;
  requestId @1 :Text;
  tenant @2 :Text;
  trafficClass @3 :Text;
  route @4 :Text;
  service @5 :Text;
  timeLeftMs @6 :UInt32;
  idempotent @7 :Bool;
  method @8 :Text;
  target @9 :Text;
  headers @10 :Text;
  bodyLength @11 :Int64;
  body @12 :Data;
  end @13 :Bool;
  priority @14 :UInt8;
  queueLength @15 :UInt32;
  targetLeftMs @16 :Int32;
  keyId @17 :UInt64;
  authenticatedVersion @18 :UInt64;
}

struct Body {
  callId @0 :UInt64;
  data @1 :Data;
  end @2 :Bool;
}

struct Credit {
  callId @0 :UInt64;
  sizeBytes @1 :UInt32;
}

struct AnswerHead {
  callId @0 :UInt64;
  status @1 :UInt16;
  reason @2 :Text;
  headers @3 :Text;
  body @4 :Data;
  end @5 :Bool;
  load @6 :UInt32;
  serviceUs @7 :UInt32;
  failedPermille @8 :UInt16;
  remainingUs @9 :UInt32;
}

struct CallFailed {
  callId @0 :UInt64;
  verdict @1 :UInt8;
  reason @2 :Text;
  detail @3 :Text;
  load @4 :UInt32;
  serviceUs @5 :UInt32;
  failedPermille @6 :UInt16;
  remainingUs @7 :UInt32;
}

struct OutcomeQuery {
  queryId @0 :UInt64;
  requestId @1 :Text;
  timeLeftMs @2 :UInt32;
}

struct Outcome {
  queryId @0 :UInt64;
  verdict @1 :UInt8;
  reason @2 :Text;
}

struct Member {
  nodeId @0 :Text;
  host @1 :Text;
  port @2 :UInt16;
  region @3 :Text;
  availabilityZone @4 :Text;
  incarnation @5 :UInt64;
  state @6 :UInt8;
  leaving @7 :Bool;
  ready @8 :Bool;
  service @9 :Text;
  serviceVersion @10 :Text;
  slots @11 :UInt32;
  platformLost @12 :Bool;
  stopped @13 :Bool;
  cold @14 :Bool;
}

struct Ping {
  mesh @0 :Text;
  sequence @1 :UInt64;
  nodeId @2 :Text;
  members @3 :List(Member);
  memberDigest @4 :UInt64;
  recordDigest @5 :UInt64;
  recordSum @6 :UInt64;
  headVersion @7 :UInt64;
}

struct PingRequest {
  mesh @0 :Text;
  sequence @1 :UInt64;
  nodeId @2 :Text;
  targetId @3 :Text;
}

struct Record {
  key @0 :Text;
  version @1 :UInt64;
  baseVersion @2 :UInt64;
  value @3 :Data;
  deflated @4 :Bool;
}

struct Spread {
  mesh @0 :Text;
  nodeId @1 :Text;
  union {
    record @2 :Record;
    recordNotice @3 :RecordNotice;
    member @4 :Member;
  }
}

# Starts with the fields of KeyVersion. A node with an older schema reads only those and
# fetches the record.
struct RecordNotice {
  key @0 :Text;
  version @1 :UInt64;
  baseVersion @2 :UInt64;
  deflatedDelta @3 :Data;
}

struct KeyVersion {
  key @0 :Text;
  version @1 :UInt64;
}

struct SyncRequest {
  versions @0 :List(KeyVersion);
  bucketDigests @1 :List(UInt64);
  members @2 :List(Member);
  takesDeflated @3 :Bool;
}

struct SyncReply {
  records @0 :List(Record);
  members @1 :List(Member);
  differingBuckets @2 :List(UInt16);
  busy @3 :Bool;
  sources @4 :List(Text);
  withheld @5 :List(KeyVersion);
}

struct AppliedEntry {
  nodeId @0 :Text;
  version @1 :UInt64;
  refusedVersion @2 :UInt64;
  reason @3 :Text;
}

struct AppliedReport {
  mesh @0 :Text;
  nodeId @1 :Text;
  entries @2 :List(AppliedEntry);
  summaries @3 :List(ZoneSummary);
  query @4 :Bool;
}

struct ZoneSummary {
  availabilityZone @0 :Text;
  version @1 :UInt64;
  applied @2 :UInt32;
  total @3 :UInt32;
  refused @4 :UInt32;
  laggards @5 :List(AppliedEntry);
}

struct LatencyCount {
  bucket @0 :UInt16;
  count @1 :UInt32;
}

struct EvidenceRow {
  route @0 :Text;
  trafficClass @1 :Text;
  serviceVersion @2 :Text;
  calls @3 :UInt32;
  failures @4 :UInt32;
  latencies @5 :List(LatencyCount);
}

struct Evidence {
  mesh @0 :Text;
  nodeId @1 :Text;
  service @2 :Text;
  rows @3 :List(EvidenceRow);
}

# A node asks the grantor of a workspace, or its deputy, for tokens. With a count of 0 it
# asks only whether the grantor responds.
struct QuotaRequest {
  mesh @0 :Text;
  nodeId @1 :Text;
  workspace @2 :Text;
  number @3 :UInt64;
  count @4 :UInt16;
}

struct QuotaGrant {
  mesh @0 :Text;
  workspace @1 :Text;
  number @2 :UInt64;
  count @3 :UInt16;
  retryAfterMs @4 :UInt32;
  notGrantor @5 :Bool;
  probe @6 :Bool;
}

# A node tells the standbys that it watches the platform.
struct RelayBeat {
  mesh @0 :Text;
  nodeId @1 :Text;
}
