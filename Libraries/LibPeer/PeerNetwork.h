#pragma once

#include "PeerPort.h"
#include <LibCore/LibCore.h>
#include <memory>

namespace Hornbeam {

/// Counts of the calls to other fronts, for the metrics.
struct PeerUsage
{
  std::uint64_t heartbeats{ 0 };
  std::uint64_t grantBatches{ 0 };
  std::uint64_t grantItems{ 0 };
  std::uint64_t tableFetches{ 0 };
  std::uint64_t forwards{ 0 };
};

/// Cap'n Proto RPC between fronts, on the event loop. A connection that fails or times out is closed and reopened by
/// the next call.
class PeerNetwork
{
public:
  explicit PeerNetwork(EventLoop& aLoop);
  PeerNetwork(PeerNetwork const&) = delete;
  PeerNetwork& operator=(PeerNetwork const&) = delete;
  ~PeerNetwork();

  /// Listens on a numeric address with a port. Returns false when the address cannot be bound.
  bool Listen(std::string const& aAddress, PeerHandlers aHandlers);

  PeerPort Port();
  PeerUsage const& Usage() const { return this->usage; }

private:
  struct Implementation;

  std::unique_ptr<Implementation> implementation;
  PeerUsage usage;
};

}
