#pragma once

#include "ConfigurationService.h"
#include "EndpointPort.h"

namespace Hornbeam {

/// What this front knows of one endpoint from its owner's answers and its own calls.
struct EndpointKnowledge
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
enum class CallVerdict
{
  Succeeded,
  Failed,
  /// Abandoned or never sent: says nothing of the endpoint.
  NoVerdict,
};

/// Slots of endpoints and accounts: asks owners for them on behalf of this front, and answers as the owner of its keys.
class GrantService
{
public:
  explicit GrantService(Kernel& aKernel);

  void Start();

  /// Free slots of an endpoint here and now.
  int FreeEndpointSlots(std::string const& aEndpoint) const;
  Holding const* EndpointHolding(std::string const& aEndpoint) const;
  EndpointKnowledge& Knowledge(EndpointRow const& aEndpoint);

  /// The limit that the endpoint's owner last told; zero before it has.
  int KnownLimit(std::string const& aEndpoint) const;

  bool TakeEndpointSlot(std::string const& aEndpoint);

  /// True while the slots of the endpoint may be used; asked again at the last instant before a send.
  bool IsEndpointGrantValid(std::string const& aEndpoint) const;

  void ReturnEndpointSlot(EndpointRow const& aEndpoint, CallVerdict aVerdict, Duration aLatency);

  /// Tells how many requests wait for a slot of the endpoint.
  void SetEndpointWaiting(std::string const& aEndpoint, int aWaiting);

  bool TakeAccountSlot(std::string const& aAccount);
  void ReturnAccountSlot(std::string const& aAccount);
  void SetAccountWaiting(std::string const& aAccount, int aWaiting);

  /// Answers another front's batch, or this front's own.
  GrantBatchResponse AnswerBatch(GrantBatch const& aBatch);

  /// The owner of a key has seen its endpoint turn cold: free slots are no longer used until the owner has answered.
  void HandleRecall(std::string const& aKey);

  /// Is called when slots may have become free.
  void OnSlotsChanged(std::function<void()> aAction);

  /// The phases of the endpoints that this front owns, for the status.
  std::map<std::string, EndpointPhase> const& OwnedPhases() const { return this->phases; }

  std::uint64_t LedgerCount() const { return this->ledgers.size(); }

private:
  struct Transition
  {
    std::vector<Member> previous;
    /// The members of the epoch that was activated.
    std::vector<Member> present;
    MonotonicTime activatedAt{};
    /// Whether this front was active in the epoch before.
    bool continuous{ false };
    /// Members that have reported all they hold, or had nothing when they left.
    std::set<std::string> reported;
    /// Until when work that nobody reported may be running, as far as the reports tell.
    MonotonicTime residualUntil{};

    bool IsComplete() const;
  };

  bool IsOwnerSilent(std::string const& aKey, Holding const& aHolding) const;
  void HandleEpoch(EpochRecord const& aRecord);
  void FlushSoon();
  void Flush();
  void Sweep();
  void PollReports();
  GrantItem MakeItem(std::string const& aKey, Holding& aHolding, std::string const& aHolder);
  GrantBatch MakeBatch(EpochRecord const& aRecord, Member const& aOwner);
  Duration Residual() const;
  void TakeReport(GrantBatch const& aBatch);
  void SendBatch(Member const& aOwner, GrantBatch aBatch);
  void TakeResults(std::vector<GrantResult> const& aResults);
  void FailBatch(GrantBatch const& aBatch);
  HoldingPolicy PolicyOf(std::string const& aKey) const;
  std::string DataCenterOf(std::string const& aKey) const;
  MonotonicTime TakenOverUntil(std::string const& aKey) const;
  Ledger& LedgerOf(std::string const& aKey);
  EndpointPhase& PhaseOf(std::string const& aEndpoint, PoolRow const& aPool);
  GrantResult AnswerItem(GrantItem const& aItem, std::size_t aHolders);
  void AnswerEndpointItem(GrantItem const& aItem, EndpointRow const& aEndpoint, Ledger& aLedger, GrantResult& aResult);
  void NotePhaseChange(std::string const& aEndpoint, Phase aBefore, EndpointPhase const& aAfter, char const* aWhy);
  void RecallGrants(std::string const& aKey);

  Clock& clock;
  MembershipService& membership;
  ConfigurationService& configuration;
  PeerPort& peers;
  EndpointPort& endpoints;
  FrontSettings const& settings;
  PhaseSettings phaseSettings;
  std::map<std::string, Holding> holdings;
  std::map<std::string, EndpointKnowledge> knowledge;
  std::map<std::string, Ledger> ledgers;
  std::map<std::string, EndpointPhase> phases;
  /// Accounts whose owner did not answer the last request.
  std::set<std::string> ownerSilent;
  std::vector<Transition> transitions;
  /// Members to which this front has yet to report all it holds in the present epoch.
  std::set<std::string> reportsDue;
  EpochNumber lastActiveEpoch{ 0 };
  bool flushScheduled{ false };
  std::vector<std::function<void()>> slotActions;
};

}
