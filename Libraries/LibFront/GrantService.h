#pragma once

#include "ConfigurationService.h"
#include "EndpointPort.h"

namespace Hornbeam {

/// The last known state of one endpoint, from its owner's responses and this front's own calls.
struct EndpointView
{
  bool cold{ true };
  int limit{ 0 };
  std::uint64_t incarnation{ 0 };
  ServiceEstimate latency;
  OutlierState outlier;
  /// Not yet reported to the owner.
  WorkObservation unreported;
};

/// How one call ended, for the endpoint's owner and for this front's routing.
enum class CallOutcome
{
  Succeeded,
  Failed,
  /// Abandoned, or resumed from an earlier attempt: no evidence about the endpoint.
  Inconclusive,
};

/// Slots of endpoints and accounts: requests them from their owners for this front, and grants them as the owner of its
/// own keys.
class GrantService
{
public:
  explicit GrantService(Kernel& aKernel);

  void Start();

  /// The free slots of an endpoint that this front may use now.
  int FreeEndpointSlots(std::string const& aEndpoint) const;
  Holding const* EndpointHolding(std::string const& aEndpoint) const;
  EndpointView& ViewOf(EndpointRow const& aEndpoint);

  /// The limit that the endpoint's owner last reported; zero before its first response.
  int LastKnownLimit(std::string const& aEndpoint) const;

  bool AcquireEndpointSlot(std::string const& aEndpoint);

  /// True while the slots of the endpoint may be used. Checked again immediately before a call is sent.
  bool IsEndpointGrantValid(std::string const& aEndpoint) const;

  void ReleaseEndpointSlot(EndpointRow const& aEndpoint, CallOutcome aOutcome, Duration aLatency);

  /// Sets how many requests wait for a slot of the endpoint.
  void SetEndpointWaiting(std::string const& aEndpoint, int aWaiting);

  bool AcquireAccountSlot(std::string const& aAccount);
  void ReleaseAccountSlot(std::string const& aAccount);
  void SetAccountWaiting(std::string const& aAccount, int aWaiting);

  /// Handles a batch from another front, or from this front itself.
  GrantBatchResponse HandleBatch(GrantBatch const& aBatch);

  /// Handles a recall by a key's owner, which has found the endpoint cold: free slots are not used until the owner has
  /// responded to a new request.
  void HandleRecall(std::string const& aKey);

  /// Registers a callback for when slots may have become free.
  void OnSlotsChanged(std::function<void()> aCallback);

  /// The phases of the endpoints that this front owns, for the status.
  std::map<std::string, EndpointPhase> const& OwnedPhases() const { return this->phases; }

  std::uint64_t LedgerCount() const { return this->ledgers.size(); }

private:
  struct EpochTransition
  {
    std::vector<Member> previous;
    /// The members of the epoch that was activated.
    std::vector<Member> current;
    MonotonicTime activatedAt{};
    /// Whether this front was active in the previous epoch.
    bool continuous{ false };
    /// Members that have reported everything that they hold, or held nothing when they left.
    std::set<std::string> reported;
    /// Until when unreported work may be running, according to the reports received.
    MonotonicTime residualUntil{};

    bool IsComplete() const;
  };

  bool IsOwnerUnresponsive(std::string const& aKey, Holding const& aHolding) const;
  void HandleEpoch(EpochRecord const& aRecord);
  void ScheduleFlush();
  void Flush();
  void Sweep();
  void PollReports();
  GrantItem MakeItem(std::string const& aKey, Holding& aHolding, std::string const& aHolder);
  GrantBatch MakeBatch(EpochRecord const& aRecord, Member const& aOwner);
  Duration ResidualDuration() const;
  void AcceptReport(GrantBatch const& aBatch);
  void SendBatch(Member const& aOwner, GrantBatch aBatch);
  void ApplyResults(std::vector<GrantResult> const& aResults);
  void HandleBatchFailure(GrantBatch const& aBatch);
  HoldingPolicy PolicyOf(std::string const& aKey) const;
  std::string DataCenterOf(std::string const& aKey) const;
  MonotonicTime TakenOverUntil(std::string const& aKey) const;
  Ledger& LedgerOf(std::string const& aKey);
  EndpointPhase& PhaseOf(std::string const& aEndpoint, PoolRow const& aPool);
  GrantResult HandleItem(GrantItem const& aItem, std::size_t aHolders);
  void HandleEndpointItem(GrantItem const& aItem, EndpointRow const& aEndpoint, Ledger& aLedger, GrantResult& aResult);
  void HandlePhaseChange(std::string const& aEndpoint, Phase aBefore, EndpointPhase const& aAfter, char const* aReason);
  void RecallGrants(std::string const& aKey);

  Clock& clock;
  MembershipService& membership;
  ConfigurationService& configuration;
  PeerPort& peers;
  EndpointPort& endpoints;
  FrontSettings const& settings;
  PhaseSettings phaseSettings;
  std::map<std::string, Holding> holdings;
  std::map<std::string, EndpointView> endpointViews;
  std::map<std::string, Ledger> ledgers;
  std::map<std::string, EndpointPhase> phases;
  /// Keys whose owner did not respond to the last request.
  std::set<std::string> keysWithUnresponsiveOwner;
  std::vector<EpochTransition> transitions;
  /// Members to which this front has yet to send its complete report for the current epoch.
  std::set<std::string> reportsToSend;
  EpochNumber lastActiveEpoch{ 0 };
  bool flushScheduled{ false };
  std::vector<std::function<void()>> slotCallbacks;
};

}
