#pragma once

#include "ProxyService.h"

namespace Hornbeam::Gateway {

/// How a request ended, for logs and metrics.
enum class RequestOutcome
{
  Answered,
  /// Nothing ran; the caller may come back.
  Refused,
  /// It may have run.
  Failed,
  /// The answer broke off midway.
  BrokenOff,
  CallerGone,
};

std::string_view
ToString(RequestOutcome aOutcome);

/// One caller's request on its way through stages and attempts.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest>
{
public:
  ProxiedRequest(ProxyService& aService,
                 std::shared_ptr<Exchange> aExchange,
                 std::shared_ptr<ServingTable const> aTable,
                 Route const& aRoute,
                 ClientAccount aAccount,
                 Platform::RequestMetadata aFacts);
  ProxiedRequest(ProxiedRequest const&) = delete;
  ProxiedRequest& operator=(ProxiedRequest const&) = delete;

  void Begin();

  /// Looks for an endpoint once more.
  void TryEndpoint();

  int Rank() const { return this->rank; }
  MonotonicTime Received() const { return this->exchange->Received(); }

private:
  bool IsRepeatable() const;
  std::string AffinityKey() const;
  EndpointQuery Query() const;

  void StartStages();
  void StartStage(unsigned aStage);
  std::string BestDataCenter(unsigned aStage, std::vector<std::string> const& aInputs) const;
  /// What the request needs after a stage.
  Duration TimeAfter(unsigned aStage) const;
  void OnStageResult(unsigned aStage, StageResult aResult);
  void RestartStages(std::string_view aCause);
  void ReleaseResults();
  void CancelStages();

  void Send(std::string const& aEndpoint);
  void OnHead(ResponseHead const& aHead);
  void OnBody(std::string aPiece);
  void OnAttemptEnd(CallEnd aEnd);
  void OnNotRun(Platform::EndpointResponse const& aAnswer);
  void AfterFailedAttempt(std::string_view aCause);
  bool RepeatAfterError();
  /// Gives the attempt under way up and makes another one.
  void MoveElsewhere(std::string_view aCause);
  void SendAgain(std::string_view aCause);
  /// Whether another attempt may follow those that were made; takes it out of the retry share.
  bool MayRepeat();
  void NoteEndpoint(AttemptHealth aHealth);
  void WatchForStall();
  void OnStall();

  void StartAnswer(ResponseHead const& aHead);
  void ForwardBody(std::string aPiece);
  void FinishAnswer();

  void OnDeadline();
  /// Ends the request with the promise that it has not run, or with a failure where it may have.
  void Refuse(std::string_view aReason, Duration aRetryAfter);
  void Fail(unsigned aStatus, std::string_view aReason);
  void End(RequestOutcome aOutcome, unsigned aStatus, std::string_view aReason);

  ProxyService& service;
  std::shared_ptr<Exchange> exchange;
  /// Keeps the route.
  std::shared_ptr<ServingTable const> table;
  Route const& route;
  ClientAccount account;
  Platform::RequestMetadata facts;
  std::string target;
  int rank{ 0 };
  MonotonicTime due{};
  MonotonicTime deadline{};
  /// When it first found no endpoint.
  MonotonicTime waitingSince{};
  TimerId deadlineTimer{ 0 };
  TimerId stallTimer{ 0 };

  std::optional<RequestStages> stages;
  std::map<unsigned, CancelAction> openStages;
  unsigned stageRestarts{ 0 };
  bool resultsReleased{ false };
  std::string plannedEndpoint;

  /// The attempt under way.
  std::string endpoint;
  CallHandle call;
  bool attempting{ false };
  bool headSeen{ false };
  /// The response's head is good, so that its body goes to the caller.
  bool forwarding{ false };
  std::vector<std::string> tried;
  /// Attempts that have ended.
  unsigned attempts{ 0 };
  unsigned connectFailures{ 0 };
  /// A byte of the request has gone to an endpoint that has not said that it did not run it.
  bool mayHaveRun{ false };

  std::optional<ResponseHead> heldHead;
  std::string heldBody;
  bool answerBegun{ false };
  EventStream events;
  bool ended{ false };
};

}
