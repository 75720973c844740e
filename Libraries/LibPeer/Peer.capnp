@0xd1f0c6a5b7e94c21;
# The RPC interface between fronts.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Hornbeam::Wire");

struct Member {
  name @0 :Text;
  incarnation @1 :UInt64;
  peerAddress @2 :Text;
  callerAddress @3 :Text;
  dataCenter @4 :Text;
}

struct EpochRecord {
  epoch @0 :UInt64;
  members @1 :List(Member);
  previous @2 :List(Member);
  drained @3 :List(Text);
}

struct Heartbeat {
  name @0 :Text;
  incarnation @1 :UInt64;
  knownEpoch @2 :UInt64;
  activeEpoch @3 :UInt64;
  table @4 :UInt64;
  draining @5 :Bool;
  # Omitted when the receiver is known to have it.
  record @6 :EpochRecord;
}

struct GrantItem {
  # "endpoint/gen-1" or "account/brewers".
  key @0 :Text;
  sequence @1 :UInt64;
  held @2 :UInt32;
  used @3 :UInt32;
  wanted @4 :UInt32;
  succeeded @5 :UInt32;
  failed @6 :UInt32;
  # Microseconds.
  totalLatency @7 :UInt64;
  hintIncarnation @8 :UInt64;
  hintLimit @9 :UInt32;
}

struct GrantBatch {
  holder @0 :Text;
  epoch @1 :UInt64;
  items @2 :List(GrantItem);
  # True when the items are everything that the holder holds of the receiver's keys in this epoch.
  complete @3 :Bool;
  # How long work that no member reports may still be running, in microseconds.
  residual @4 :UInt64;
}

struct GrantResult {
  key @0 :Text;
  # False when the receiver does not own the key or holds no lease.
  answered @1 :Bool;
  sequence @2 :UInt64;
  total @3 :UInt32;
  limit @4 :UInt32;
  cold @5 :Bool;
  incarnation @6 :UInt64;
}

struct ForwardedRequest {
  pipeline @0 :Text;
  # The caller's request body.
  body @1 :Text;
}

interface Front {
  heartbeat @0 (message :Heartbeat) -> (answer :Heartbeat);
  requestGrants @1 (batch :GrantBatch) -> (results :List(GrantResult), reportTaken :Bool);
  # The table in its stored form; empty when the front has no table yet.
  fetchTable @2 () -> (table :Text);
  # Forwards a non-repeatable request to the front incarnation that its key names. The answer is the response for the
  # caller.
  forward @3 (request :ForwardedRequest) -> (answer :Text);
  # The owner of these keys asks the holder to stop using its free slots and to request them again, because the
  # endpoint has become cold.
  recallGrants @4 (keys :List(Text)) -> ();
}
