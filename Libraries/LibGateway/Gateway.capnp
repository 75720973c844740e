@0xd3a1f6b27c5e9048;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Hornbeam::Wire");

# A job for all items of one stage of one request. Times are relative, because the clocks of fronts differ.
struct StageOrder {
  service @0 :Text;
  requestId @1 :Text;
  stage @2 :UInt16;
  pieces @3 :UInt32;
  rank @4 :Int16;
  targetLeftUs @5 :Int64;
  deadlineLeftUs @6 :Int64;
  laterUs @7 :Int64;
  pieceBytes @8 :UInt64;
  dataCenter @9 :Text;
  key @10 :Text;
  inputs @11 :List(Text);
  crossingBytes @12 :UInt64;
}

enum StageEnd {
  made @0;
  late @1;
  inputsGone @2;
  failed @3;
  moved @4;
}

struct StageResult {
  end @0 :StageEnd;
  handles @1 :List(Text);
  retryAfterUs @2 :Int64;
  backlogUs @3 :Int64;
  computingUs @4 :Int64;
}

# A cached object of the store, which a front fetches from its peers if the store is unavailable at startup.
struct KnownObject {
  kind @0 :UInt8;
  document @1 :Text;
}

# Bytes of the base document or, if size is zero, new ones.
struct DeltaPiece {
  offset @0 :UInt64;
  size @1 :UInt64;
  bytes @2 :Data;
}

# A large document as its differences from the one with the hash base (DocumentDelta.h).
struct RelayedDelta {
  base @0 :UInt64;
  result @1 :UInt64;
  pieces @2 :List(DeltaPiece);
}

# The state of an object of the store. An empty document without a delta means that the object does not exist.
struct RelayedObject {
  name @0 :Text;
  revision @1 :UInt64;
  document @2 :Text;
  # Only for readers that have told the hash of its base.
  delta @3 :RelayedDelta;
}

# How the objects of one kind changed from one revision of the store to another.
struct RelayedUpdate {
  kind @0 :UInt8;
  complete @1 :Bool;
  from @2 :UInt64;
  to @3 :UInt64;
  objects @4 :List(RelayedObject);
  readerLimit @5 :UInt64;
}

# The origin of a stream, by the request that brought its first event.
struct StreamRecord {
  requestId @0 :Text;
  service @1 :Text;
  softwareVersion @2 :Text;
  requester @3 :UInt64;
}

# The sum of the loads of some fronts. ageUs is their mean age.
struct LoadReport {
  front @0 :Text;
  dataCenter @1 :Text;
  incarnation @2 :Int64;
  number @3 :UInt64;
  level @4 :UInt8;
  fronts @5 :UInt16;
  ageUs @6 :Int64;
  loads @7 :Data;
}

# Counts of the responses of one software version: all, failed ones, and the others by time to the first byte, of which
# only those buckets are listed that are not empty.
struct VersionTally {
  responses @0 :UInt64;
  failures @1 :UInt64;
  buckets @2 :List(UInt8);
  counts @3 :List(UInt64);
}

struct StratumTally {
  route @0 :Text;
  dataCenter @1 :Text;
  shareThousandths @2 :UInt16;
  target @3 :VersionTally;
  other @4 :VersionTally;
}

struct EndpointTally {
  endpoint @0 :Text;
  bad @1 :UInt64;
}

# What a front counted since it learnt of a rollout order; all counts are cumulative.
struct VersionReport {
  front @0 :Text;
  service @1 :Text;
  target @2 :Text;
  incarnation @3 :Int64;
  ageUs @4 :Int64;
  inProgressElsewhere @5 :UInt64;
  strata @6 :List(StratumTally);
  endpoints @7 :List(EndpointTally);
}

interface GatewayPeer {
  # Returns when all items are completed or the job is abandoned. Dropping the call cancels the job.
  makeStage @0 (order :StageOrder) -> (result :StageResult);
  releaseResults @1 (service :Text, handles :List(Text)) -> ();
  # tableVersion is that of the table in force; storeEra how often the store was restored, as far as the front knows.
  ping @2 () -> (incarnation :Int64, tableVersion :UInt64, storeEra :UInt64);
  # coverage is 1 if the front knows all kinds, 2 if it knows some; earlier builds do not tell.
  knownObjects @3 () -> (objects :List(KnownObject), coverage :UInt8);
  # Not served any more: revisions without the era of the store.
  follow @4 (revisions :List(UInt64), waitUs :Int64, noticeOnly :Bool)
      -> (updates :List(RelayedUpdate), ageUs :Int64, watching :Bool, revisions :List(UInt64));
  # Revisions here and in the updates are ordered by the era of the store, then by its revision (StorePosition.h).
  # Returns what is newer than the caller's revision of each kind, as soon as there is anything, or nothing after waitUs.
  # ageUs is the age of the relay's state; watching is whether the relay itself watches the store.
  # With noticeOnly, the changes themselves are left out, and the response comes a little later. revisions are the
  # relay's. bases are the hashes of large documents that the caller has: documents may be told as differences from them.
  followStore @5 (revisions :List(UInt64), waitUs :Int64, noticeOnly :Bool, bases :List(UInt64))
      -> (updates :List(RelayedUpdate), ageUs :Int64, watching :Bool, revisions :List(UInt64));
  # To the keeper of the requests' records.
  recordStreams @6 (records :List(StreamRecord)) -> ();
  # The record is meaningful only if it is known. If the service has only one version, as the store tells after the call
  # came, the record names it, with the requester of the call.
  findStream @7 (requestId :Text, service :Text, requester :UInt64) -> (known :Bool, record :StreamRecord);
  # The load of a front and of all that report to it, to its collector or from one collector to another (FleetLoad.h).
  # The reply is the load of all other fronts, or between data centres that of the called one's.
  exchangeLoads @8 (report :LoadReport) -> (reply :LoadReport);
  # To the owner of the order. share is the part of the front's requests that may go to the target for the next 2 s from
  # the call on; zero if the owner does not know the order.
  reportVersions @9 (report :VersionReport) -> (share :Float64);
}
