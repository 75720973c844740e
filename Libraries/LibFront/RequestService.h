#pragma once

#include "GrantService.h"

namespace Hornbeam {

/// A request as a caller or another front hands it in.
struct CallerRequest
{
  std::string pipeline;
  std::string account;
  std::string input;
  /// Groups requests with a common prompt prefix; empty for none.
  std::string prefix;
  /// Empty for the pipeline's own deadline, which is also the longest.
  std::optional<Duration> deadline;
  /// Required for non-repeatable pipelines.
  std::string key;
  /// Identifies the contents, to tell a resend from another request with the same key.
  std::uint64_t fingerprint{ 0 };
  /// The body as it was received, for forwarding.
  std::string body;
  bool forwarded{ false };
};

/// Where a request's tokens and its answer go. The answer comes exactly once.
struct AnswerSink
{
  std::function<void(std::string const& aToken)> onToken;
  std::function<void(PipelineResponse const&)> onAnswer;
};

/// Counts for the metrics and the experiments.
struct RequestUsage
{
  std::uint64_t received{ 0 };
  std::uint64_t completed{ 0 };
  std::map<RefusalReason, std::uint64_t> refused;
  std::uint64_t attempts{ 0 };
  std::uint64_t retries{ 0 };
  /// Attempts whose work was thrown away, and the endpoint time they took.
  std::uint64_t wastedAttempts{ 0 };
  Duration wastedTime{ 0 };
  std::map<std::string, Duration> endpointTime;
};

/// Takes requests in, queues their stages, sends attempts to endpoints and answers each request once.
class RequestService
{
public:
  explicit RequestService(Kernel& aKernel);

  void Start();

  /// Returns the request's identifier, by which its caller can withdraw it; zero when it was answered at once.
  RequestId Submit(CallerRequest const& aRequest, AnswerSink aSink);

  /// The caller has gone. A repeatable request is stopped; a non-repeatable one runs on and keeps its answer.
  void Withdraw(RequestId aRequest);

  std::size_t ActiveRequests() const { return this->active.size(); }
  RequestUsage const& Usage() const { return this->usage; }
  std::size_t KnownKeys() const { return this->keys.entries.size(); }

private:
  struct ActiveRequest;
  using RequestPointer = std::shared_ptr<ActiveRequest>;

  void SweepKeys();
  RequestId Refuse(CallerRequest const& aRequest, AnswerSink const& aSink, Refusal aRefusal);
  std::optional<Refusal> Check(CallerRequest const& aRequest) const;
  RequestId SubmitWithKey(CallerRequest const& aRequest, AnswerSink aSink, PipelineRow const& aPipeline);
  RequestId Forward(CallerRequest const& aRequest, AnswerSink aSink, IdempotencyKey const& aKey);
  RequestId Begin(CallerRequest const& aRequest, AnswerSink aSink, PipelineRow const& aPipeline);
  void Admit(RequestPointer const& aRequest);
  bool AdmitAccount(RequestPointer const& aRequest);
  void ReviewWaiting();
  void QueueStage(RequestPointer const& aRequest);
  void DispatchAll();
  void DispatchPool(std::string const& aPool);
  bool DispatchNext(std::string const& aPool);
  void TellWaiting(std::string const& aPool);
  std::vector<Candidate> CandidatesOf(std::string const& aPool, RequestPointer const& aRequest);
  void StartAttempt(RequestPointer const& aRequest, EndpointRow const& aEndpoint, Choice const& aChoice);
  EndpointEvents EventsOf(RequestPointer const& aRequest, EndpointRow const& aEndpoint);
  bool MayStillSend(RequestPointer const& aRequest, EndpointRow const& aEndpoint) const;
  void OnPiece(RequestPointer const& aRequest, std::string_view aPiece);
  void OnCallEnd(RequestPointer const& aRequest, EndpointRow const& aEndpoint, EndpointCallEnd const& aEnd);
  void EndAttempt(RequestPointer const& aRequest, EndpointRow const& aEndpoint, AttemptResult const& aResult);
  void AbandonAttempt(RequestPointer const& aRequest);
  void OnDeadline(RequestId aRequest);
  void Finish(RequestPointer const& aRequest, PipelineResponse const& aAnswer);
  void FinishRefused(RequestPointer const& aRequest, Refusal const& aRefusal);
  int SlotsHeld(std::string const& aPool) const;
  int SlotsInReach(std::string const& aPool) const;
  bool IsHopeless(RequestPointer const& aRequest) const;
  Duration TimeNeeded(RequestPointer const& aRequest);
  Duration AttemptTimeout(RequestPointer const& aRequest, EndpointRow const& aEndpoint);
  void CountOutlier(EndpointRow const& aEndpoint);

  Clock& clock;
  MembershipService& membership;
  ConfigurationService& configuration;
  GrantService& grants;
  PeerPort& peers;
  EndpointPort& endpoints;
  FrontSettings const& settings;
  RequestId lastRequest{ 0 };
  std::map<RequestId, RequestPointer> active;
  /// Requests that wait for the lease or for an account slot, in order of arrival.
  std::vector<RequestPointer> waiting;
  std::map<std::string, FairQueue> queues;
  std::map<std::string, ServiceEstimate> estimates;
  std::map<std::string, std::uint64_t> turns;
  std::map<std::string, int> outstanding;
  KeyLedger keys;
  RetryBudget retryBudget;
  OutlierSettings outlierSettings;
  RequestUsage usage;
  bool dispatchScheduled{ false };
};

}
