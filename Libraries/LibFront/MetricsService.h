#pragma once

#include "RequestService.h"
#include <LibPeer/LibPeer.h>

namespace Hornbeam {

/// Renders the counters of the services as a Prometheus page.
class MetricsService
{
public:
  explicit MetricsService(Kernel& aKernel);

  /// Adds the counts of the store and peer ports to the page. Tests with fakes leave this out.
  void AddPortUsage(StoreUsage const& aStore, PeerUsage const& aPeers);

  std::string Render() const;

private:
  MembershipService& membership;
  ConfigurationService& configuration;
  GrantService& grants;
  RequestService& requests;
  StoreUsage const* store{ nullptr };
  PeerUsage const* peers{ nullptr };
};

}
