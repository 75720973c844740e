#pragma once

#include "PresenceService.h"

namespace Hornbeam::Gateway {

/// Keeps the state cache up to date from relays or from the store, and answers the fronts that follow this one.
class RelayService
{
public:
  explicit RelayService(Kernel& aKernel);

  void Start();

  /// Answers a poll of a follower: at the next change, or after the requested wait.
  CancelAction Serve(FollowRequest aRequest, FollowCallback aDone);

  StoreUse Use() const { return this->subscription.use; }
  std::size_t Followers() const { return this->polls.size(); }

private:
  struct PendingPoll
  {
    FollowRequest request;
    FollowCallback done;
    TimerId timer{ 0 };
    bool noticeScheduled{ false };
  };

  void Tick();
  void Update();
  void Poll(RelayPoll const& aPoll);
  /// aDelay is how long the response was on its way at least.
  void OnResponse(std::string const& aAddress, FollowResponse aResponse, Duration aDelay);
  void OnStateChanged();
  void AnswerPolls();
  void AnswerPoll(std::uint64_t aPoll);
  FollowResponse MakeResponse(FollowRequest const& aRequest);
  void RememberDocuments();
  /// Leaves only differences of documents in an update, where the reader has told a base for them.
  void ShortenDocuments(FollowResponse::KindUpdate& aUpdate, std::vector<std::uint64_t> const& aBases);
  /// Returns false if the update has differences that cannot be used.
  bool RestoreDocuments(FollowResponse::KindUpdate& aUpdate) const;
  void UpdateRoles();

  GatewaySettings const& settings;
  StateCache& stateCache;
  Clock& clock;
  FrontPeers& peers;
  PresenceService& presence;
  RelayRoles roles;
  Subscription subscription;
  /// This front's share of kMaxFallbackSpread.
  Duration fallbackSpread{ 0 };
  /// Relays whose last response had old state.
  std::set<std::string> oldRelays;
  bool following{ false };
  DocumentHistory documents;
  /// Set after differences could not be used: the next poll asks for whole documents.
  bool needsWholeDocuments{ false };
  std::map<std::uint64_t, PendingPoll> polls;
  std::uint64_t lastPoll{ 0 };
  bool answersScheduled{ false };
};

}
