#pragma once

#include "FrontPeers.h"
#include "GatewayMetrics.h"
#include "StateCache.h"
#include <nlohmann/json_fwd.hpp>

namespace Hornbeam::Gateway {

/// An attempt of a request, as far as rollouts count it.
struct VersionAttempt
{
  std::string service;
  std::string route;
  std::string dataCenter;
  std::string endpoint;
  std::string version;
  MonotonicTime sent{};
  /// Set if its response is not counted, as the endpoint is cold, or if its failure is counted already.
  bool ignored{ false };
  /// Set once its response is counted.
  bool counted{ false };
  /// The order under which it was sent, and the share then.
  std::string target;
  unsigned shareThousandths{ 0 };
};

/// Restricts requests to the software versions that rollout orders allow, counts their responses, reports the counts to
/// the owners of the orders, and is the owner of some. Does nothing unless the settings have rollouts.
class RolloutService
{
public:
  explicit RolloutService(Kernel& aKernel);

  void Start();

  /// Adds a callback that runs when the share of a service changes.
  void AddShareListener(std::function<void()> aAction) { this->shareListeners.push_back(std::move(aAction)); }

  /// Counts a request that reaches a service.
  void OnRequest(std::string const& aService);

  /// Returns where a request may run now. aDraw is uniform in [0, 1) and stays that of the request; aStreamVersion is
  /// the version that began its stream, if any.
  VersionChoice ChoiceFor(std::string const& aService,
                          double aDraw,
                          std::optional<std::string> const& aStreamVersion) const;

  /// Whether a failed attempt at the target of an order is to be repeated only at other versions.
  bool IsAvoidedAfterFailure(std::string const& aService, std::string const& aVersion) const;

  /// Whether jobs of a stage service may run at a version. Their responses are not counted, so the target gets none
  /// until all requests go to it.
  bool MayRunStages(std::string const& aService, std::string const& aVersion) const;

  /// Returns a number that identifies the attempt; zero if it is not observed.
  std::uint64_t OnAttemptSent(KnownEndpoint const& aEndpoint, std::string const& aRoute);
  /// Called when the head of a response arrives that is passed on.
  void OnAnswer(std::uint64_t aAttempt, ResponseOutcome aOutcome);
  /// Called when an attempt has ended; without an outcome if it says nothing about the endpoint.
  void OnAttemptEnd(std::uint64_t aAttempt, std::optional<ResponseOutcome> aOutcome);

  /// Takes the report of a front, as the owner of the order; returns the granted share.
  double OnReport(RemoteVersionReport const& aReport);

  /// The rollouts in progress, for operators.
  nlohmann::json RenderState() const;
  void UpdateMetrics();

private:
  /// An order at this front.
  struct Observed
  {
    RolloutOrder order;
    VersionReport report;
    FrontExposure exposure;
    ShareLease lease;
    MonotonicTime learnt{};
    MonotonicTime nextReport{};
    bool reporting{ false };
  };
  /// An order of which this front is the owner.
  struct Owned
  {
    RolloutOwner owner;
    MonotonicTime lastReport{};
    RolloutState loggedState{ RolloutState::Serving };
    double loggedShare{ 0 };
  };
  /// Writing the status of an order.
  struct StatusWrite
  {
    bool inFlight{ false };
    MonotonicTime next{};
    unsigned failures{ 0 };
  };

  Observed const* FindOrder(std::string const& aService) const;
  /// Returns the version of a service that is not used yet although no order names it.
  std::optional<std::string> FindHeldBackVersion(std::string const& aService) const;
  void OnStateChanged();
  void Tick();
  void Report(std::string const& aService, Observed& aObserved);
  void ApplyShare(std::string const& aService, std::string const& aTarget, double aShare, MonotonicTime aSent);
  void Count(Observed& aObserved, VersionAttempt& aAttempt, ResponseOutcome aOutcome);
  void NotifyShareListeners();

  // Defined in RolloutOwnerService.cpp.

  bool IsOwner(std::string const& aService) const;
  RolloutView MakeView(RolloutOrder const& aOrder) const;
  double Decide(RolloutOrder const& aOrder, Owned& aOwned);
  void LogDecision(RolloutOrder const& aOrder, Owned& aOwned, RolloutDecision const& aDecision) const;
  /// Writes the status that the store should have, if it has another one.
  void WriteStatus(RolloutOrder const& aOrder);
  void OnStatusWritten(std::string const& aName, Platform::WriteResult const& aResult);

  GatewaySettings const& settings;
  StateCache& stateCache;
  Clock& clock;
  FrontPeers& peers;
  StoreClient& store;
  GatewayMetrics& metrics;
  std::int64_t incarnation{ 0 };
  MonotonicTime started{};
  VersionArrivals arrivals;
  std::map<std::string, Observed> observed;
  std::map<std::string, Owned> owned;
  std::map<std::string, StatusWrite> writes;
  std::map<std::uint64_t, VersionAttempt> attempts;
  std::uint64_t lastAttempt{ 0 };
  std::vector<std::function<void()>> shareListeners;
};

}
