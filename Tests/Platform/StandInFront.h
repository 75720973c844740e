#pragma once

#include <LibGateway/FrontPeers.h>
#include <LibGateway/Gateway.capnp.h>
#include <LibRpc/LibRpc.h>
#include <functional>

namespace Hornbeam::Testing {

/// What a stand-in front answers to probes and to polls of its state.
struct StandInFrontState
{
  std::int64_t incarnation{ 1 };
  std::uint64_t tableVersion{ 0 };
  std::uint64_t storeEra{ 1 };
  /// The age of the state that polls are told.
  Duration age{ 0 };
  /// The updates that polls are told; without them the poll's own revisions are.
  std::vector<Gateway::FollowResponse::KindUpdate> updates;
  /// The revisions that polls are told; those of the poll if empty.
  std::vector<Gateway::StorePosition> revisions;
  /// The hashes of documents that the last poll for changes told.
  std::vector<std::uint64_t> bases;
  /// The document of the table in the cached objects; none if empty.
  std::string tableDocument;
  /// Further cached objects.
  std::vector<Gateway::CachedObject> cachedObjects;
  Gateway::CacheCoverage coverage{ Gateway::CacheCoverage::NotTold };
  /// How many of the next questions for cached objects fail.
  unsigned failingFetches{ 0 };
  unsigned fetches{ 0 };
  /// Returns the handles that answer a job, by its number of items. Without it, jobs are not served.
  std::function<std::vector<std::string>(unsigned aItems)> runStage;
  std::vector<std::string> releasedResults;
};

/// A stand-in for another front, of which only the calls between fronts exist.
class StandInFront
{
public:
  StandInFront(EventLoop& aLoop, std::string const& aAddress);

  StandInFrontState state;

private:
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Own<capnp::TwoPartyServer> server;
  kj::Promise<void> serving{ nullptr };
};

}
