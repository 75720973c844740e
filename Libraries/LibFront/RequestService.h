#pragma once

#include "GrantService.h"

namespace Hornbeam {

/// A request as a caller or another front submits it.
struct CallerRequest
{
  std::string pipeline;
  std::string account;
  std::string input;
  /// Groups requests with a common prompt prefix; empty for none.
  std::string prefix;
  /// Empty for the pipeline's deadline, which is also the maximum.
  std::optional<Duration> deadline;
  /// Required for non-repeatable pipelines.
  std::string key;
  /// Hash of the contents, to distinguish a resend from a different request with the same key.
  std::uint64_t fingerprint{ 0 };
  /// The body as it was received, for forwarding.
  std::string body;
  bool forwarded{ false };
};

/// Receives a request's tokens and its response. The response callback is called exactly once.
struct ResponseSink
{
  std::function<void(std::string const& aToken)> onToken;
  std::function<void(PipelineResponse const&)> onResponse;
};

/// Counts for the metrics and the experiments.
struct RequestUsage
{
  std::uint64_t received{ 0 };
  std::uint64_t completed{ 0 };
  std::map<RefusalReason, std::uint64_t> refused;
  std::uint64_t attempts{ 0 };
  std::uint64_t retries{ 0 };
  /// Attempts whose work was discarded, and the endpoint time that they took.
  std::uint64_t wastedAttempts{ 0 };
  Duration wastedTime{ 0 };
  std::map<std::string, Duration> endpointTime;
};

/// Admits requests, queues their stages, sends attempts to endpoints and responds to each request once.
class RequestService
{
public:
  explicit RequestService(Kernel& aKernel);

  void Start();

  /// Returns the request's identifier for HandleDisconnect(), or zero when the request was already responded to or
  /// forwarded.
  RequestId Submit(CallerRequest const& aRequest, ResponseSink aSink);

  /// Handles a disconnected caller. A repeatable request is cancelled; a non-repeatable one continues, and its response
  /// is kept for a resend.
  void HandleDisconnect(RequestId aRequest);

  /// Ends all work by aEndsAt: new requests that may take longer are refused, and active ones get a response then.
  void LimitWork(MonotonicTime aEndsAt);

  /// Refuses new requests from now on. Active requests are completed.
  void CloseAdmission();

  /// Requests that this front runs, or has forwarded, without a response so far.
  std::size_t ActiveRequests() const { return this->active.size() + this->forwards.size(); }
  RequestUsage const& Usage() const { return this->usage; }
  std::size_t KnownKeys() const { return this->keys.entries.size(); }

private:
  struct ActiveRequest;
  using RequestPointer = std::shared_ptr<ActiveRequest>;

  /// A request that awaits the response of the front that its key names.
  struct PendingForward
  {
    CallerRequest request;
    ResponseSink sink;
    std::string holder;
  };

  void PruneKeys();
  RequestId Refuse(CallerRequest const& aRequest, ResponseSink const& aSink, Refusal aRefusal);
  std::optional<Refusal> Validate(CallerRequest const& aRequest) const;
  RequestId SubmitWithKey(CallerRequest const& aRequest, ResponseSink aSink, PipelineRow const& aPipeline);
  Refusal StoppingRefusal(RunState aRun) const;
  RequestId Forward(CallerRequest const& aRequest, ResponseSink aSink, IdempotencyKey const& aKey);
  void LimitDeadline(ActiveRequest& aRequest);
  bool MayOutlastThisFront(RequestPointer const& aRequest);
  void RefuseForwards();
  Refusal LateRefusal(ActiveRequest const& aRequest, RefusalReason aReason, std::string aDetail) const;
  void FinishForward(std::uint64_t aForward, std::optional<std::string> const& aResponse);
  RequestId StartRequest(CallerRequest const& aRequest, ResponseSink aSink, PipelineRow const& aPipeline);
  void Admit(RequestPointer const& aRequest);
  bool AdmitAccount(RequestPointer const& aRequest);
  void AdmitWaiting();
  void EnqueueStage(RequestPointer const& aRequest);
  void DispatchAll();
  void DispatchPool(std::string const& aPool);
  bool DispatchNext(std::string const& aPool);
  void ReportWaiting(std::string const& aPool);
  std::vector<Candidate> CandidatesOf(std::string const& aPool, RequestPointer const& aRequest);
  void StartAttempt(RequestPointer const& aRequest, EndpointRow const& aEndpoint, Choice const& aChoice);
  EndpointEvents MakeEvents(RequestPointer const& aRequest, EndpointRow const& aEndpoint);
  bool MayStillSend(RequestPointer const& aRequest, EndpointRow const& aEndpoint) const;
  void OnChunk(RequestPointer const& aRequest, std::string_view aChunk);
  void OnCallEnd(RequestPointer const& aRequest, EndpointRow const& aEndpoint, EndpointCallEnd const& aEnd);
  void EndAttempt(RequestPointer const& aRequest, EndpointRow const& aEndpoint, AttemptResult const& aResult);
  void AbandonAttempt(RequestPointer const& aRequest);
  void OnDeadline(RequestId aRequest);
  void Finish(RequestPointer const& aRequest, PipelineResponse const& aResponse);
  void FinishRefused(RequestPointer const& aRequest, Refusal const& aRefusal);
  int HeldSlots(std::string const& aPool) const;
  int ExpectedSlots(std::string const& aPool) const;
  bool CannotMeetDeadline(RequestPointer const& aRequest) const;
  Duration PredictRemainingTimeOf(RequestPointer const& aRequest);
  Duration AttemptTimeout(RequestPointer const& aRequest, EndpointRow const& aEndpoint);
  void RecordEndpointFailure(EndpointRow const& aEndpoint);

  Clock& clock;
  MembershipService& membership;
  ConfigurationService& configuration;
  GrantService& grants;
  PeerPort& peers;
  EndpointPort& endpoints;
  FrontSettings const& settings;
  RequestId lastRequest{ 0 };
  std::map<RequestId, RequestPointer> active;
  std::uint64_t lastForward{ 0 };
  std::map<std::uint64_t, PendingForward> forwards;
  /// Requests that wait for the lease or for an account slot, in order of arrival.
  std::vector<RequestPointer> waiting;
  std::map<std::string, FairQueue> queues;
  std::map<std::string, ServiceEstimate> estimates;
  std::map<std::string, std::uint64_t> roundRobinTurns;
  std::map<std::string, int> outstanding;
  KeyLedger keys;
  RetryBudget retryBudget;
  OutlierSettings outlierSettings;
  RequestUsage usage;
  bool dispatchScheduled{ false };
  bool admissionClosed{ false };
  /// When all work must have ended, once this front is stopping.
  std::optional<MonotonicTime> workEndsAt;
};

}
