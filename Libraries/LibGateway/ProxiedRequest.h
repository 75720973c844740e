#pragma once

#include "ProxyService.h"

namespace Hornbeam::Gateway {

/// The outcome of a request, for logs and metrics.
enum class RequestOutcome
{
  Completed,
  /// The request was not executed; the caller may retry.
  Refused,
  /// The request may have been executed.
  Failed,
  /// The connection was closed in the middle of the response.
  Interrupted,
  CallerDisconnected,
};

std::string_view
ToString(RequestOutcome aOutcome);

/// Returns the part of a prompt that decides about the endpoint on a route with affinity; empty without one.
std::string
AffinityKeyOf(Route const& aRoute, std::vector<std::string> const& aParts);

/// Returns when a request must have ended; aClientTimeout and aReceived are those of its caller.
MonotonicTime
DeadlineOf(Route const& aRoute, std::optional<Duration> aClientTimeout, MonotonicTime aReceived);

/// One sending of a request to an endpoint.
struct EndpointAttempt
{
  /// Counts the attempts of the request; events of others than the known ones are ignored.
  std::uint64_t number{ 0 };
  std::string endpoint;
  /// The process to which the attempt was sent, and the version of its software.
  EndpointProcess process;
  std::string softwareVersion;
  CallHandle call;
  /// The tunnel through which the answer comes; empty for a direct connection.
  std::string tunnel;
  /// What the attempt adds to the load of its process; zero if its service has no model endpoints.
  double load{ 0 };
  /// The attempt's number at the crash service.
  std::uint64_t watched{ 0 };
  /// The attempt's number at the rollout service.
  std::uint64_t counted{ 0 };
  bool headReceived{ false };
  /// Set if the head of the response was accepted, so that its body is forwarded to the caller.
  bool forwarding{ false };
  /// Set if the body of the response has a length or chunks; otherwise it ends with its connection.
  bool framed{ false };
  /// Bytes of the response that the attempt has delivered.
  std::size_t bytes{ 0 };
  /// Set once it was checked whether the endpoint still listens after the end of its response.
  bool endChecked{ false };
  bool endpointGone{ false };
  std::optional<ResponseHead> bufferedHead;
  std::string bufferedBody;
};

/// An attempt that may still go on, and the state of the stream of events when it was left waiting.
struct StalledAttempt
{
  EndpointAttempt attempt;
  EventStream eventStream;
};

/// A run of a stage that has neither ended nor been cancelled.
struct StageRun
{
  /// Counts the runs of all stages of the request, so that the result of a run that was given up is recognized.
  std::uint64_t number{ 0 };
  CancelAction cancel;
};

/// A caller's request: runs its stages, then sends it to endpoints until an attempt succeeds or it may not be retried.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest>
{
public:
  ProxiedRequest(ProxyService& aService,
                 std::shared_ptr<Exchange> aExchange,
                 std::shared_ptr<ServingTable const> aTable,
                 Route const& aRoute,
                 ClientAccount aAccount,
                 Platform::RequestMetadata aMetadata);
  ProxiedRequest(ProxiedRequest const&) = delete;
  ProxiedRequest& operator=(ProxiedRequest const&) = delete;

  void Begin();

  /// Selects an endpoint and sends the request to it, or queues the request until an endpoint is available.
  void TryEndpoint();

  /// During a stop, refuses the request if it was not executed and cannot end in time. Returns whether it has ended.
  bool RefuseIfUnfinishable();

  /// Ends the request because the process ends: with a final answer, or by an interruption if its response has begun.
  void EndForStop();

  std::string const& RouteName() const { return this->route.name; }
  int Priority() const { return this->priority; }
  MonotonicTime Received() const { return this->exchange->Received(); }

  /// Runs an action of the request. An exception ends the request with an honest answer.
  template<typename Action>
  void Run(Action const& aAction)
  {
    if (!RunGuarded("request", aAction))
      this->EndAfterException();
  }

private:
  /// Makes a callback of an action on this request; it does nothing once the request is gone.
  template<typename Action>
  auto Callback(Action aAction)
  {
    return [self = this->weak_from_this(), aAction = std::move(aAction)](auto&&... aArguments) {
      if (auto const request = self.lock())
        request->Run([&] { aAction(*request, std::forward<decltype(aArguments)>(aArguments)...); });
    };
  }
  void EndAfterException();

  bool IsRetryable() const;
  EndpointQuery MakeQuery() const;

  // Defined in ProxiedRollout.cpp.

  /// Returns the software versions that the request may use now.
  VersionChoice ChooseVersion() const;
  /// Restricts a query to the versions that the request may use.
  void Restrict(EndpointQuery& aQuery) const;
  /// Chooses an endpoint of the version that the request should use, or of another one that it may use.
  std::optional<std::string> ChoosePreferred(SelectionView const& aView, MonotonicTime aNow) const;
  /// Returns the query for endpoints of the version that the request should use.
  EndpointQuery MakePreferredQuery() const;

  /// Whether the request goes on with a stream of which the caller has events already.
  bool TakesStreamUp() const;
  void FindStreamOrigin();
  void OnStreamOrigin(FoundOrigin const& aFound);
  /// Runs the stages, if there are any, and sends the request.
  void StartWork();
  void StartStages();
  void StartStage(unsigned aStage);
  std::string PreferredDataCenter(unsigned aStage, std::vector<std::string> const& aInputs) const;
  /// The estimated time that the request needs after a stage.
  Duration TimeNeededAfter(unsigned aStage) const;
  void OnStageResult(unsigned aStage, std::uint64_t aRun, StageResult aResult);
  /// Whether all results are held that an attempt needs as inputs. Always true on a route without stages.
  bool HoldsInputs() const;
  /// Runs the stages again for another attempt, unless they are running. The request is sent once they are complete.
  void ObtainInputs(std::string_view aCause);
  void RestartStages(std::string_view aCause);
  /// Releases all results and cancels the stages that run.
  void ReleaseResults();
  void CancelStages();

  /// Refuses the request if it, or a part of its prompt, is quarantined; returns whether it did.
  bool RefuseIfQuarantined();
  /// aInputs are the results that the endpoint reads, none on a route without stages.
  OutgoingCall MakeCall(EndpointEntry const& aEntry, std::vector<std::string> aInputs) const;
  void SendAttempt(std::string const& aEndpoint);
  void OnHead(ResponseHead const& aHead);
  void OnBody(std::string aData);
  void OnAttemptEnd(CallEnd aEnd);
  /// Makes a callback of an event of the attempt that is about to be sent.
  template<typename Action>
  auto AttemptCallback(Action aAction)
  {
    return this->Callback([number = this->attempt.number, aAction](ProxiedRequest& aRequest, auto&&... aArguments) {
      if (aRequest.GoOnWith(number))
        aAction(aRequest, std::forward<decltype(aArguments)>(aArguments)...);
    });
  }
  /// Whether a response can go on with the stream that the caller receives.
  bool ContinuesStream(ResponseHead const& aHead) const;
  void OnNotExecuted(Platform::EndpointResponse const& aResponse);
  /// Abandons the attempt in flight, which may have been executed.
  void FailAttempt(std::string_view aCause);
  void HandleFailedAttempt(std::string_view aCause);
  bool RetryOnError();
  /// Describes how far the attempt's answer was, as fields of a log line.
  std::string AttemptProgress() const;
  /// Abandons the attempt in flight and starts another one.
  void AbandonAndRetry(std::string_view aCause);
  void Retry(std::string_view aCause);
  /// Whether another attempt is allowed; if so, takes it from the retry budget.
  bool TryAcquireRetry();
  void RecordAttemptHealth(AttemptHealth aHealth);
  void RecordHealth(EndpointAttempt const& aAttempt, AttemptHealth aHealth);
  /// Ends an attempt about whose endpoint nothing was learnt.
  void DropAttempt(EndpointAttempt const& aAttempt);

  // Defined in ProxiedStall.cpp.

  void ArmStallTimer();
  void OnStall();
  /// Leaves the silent attempt waiting and asks another endpoint.
  void AskAnotherEndpoint();
  /// Returns whether an event of an attempt is to be handled: it is the one in flight, or the stalled one, which then
  /// takes the place of the other.
  bool GoOnWith(std::uint64_t aAttempt);
  /// Goes on with the stalled attempt, if there is one, instead of ending the request; returns whether there is one.
  bool ReturnToStalledAttempt(std::string_view aCause);
  /// Gives the stalled attempt up, as another endpoint answers.
  void GiveStalledAttemptUp();
  /// Ends the stalled attempt with its request.
  void DropStalledAttempt();
  /// Handles the end of the stalled attempt's connection; returns whether it was its connection.
  bool OnStalledAttemptEnd(std::uint64_t aAttempt, CallEnd aEnd);

  void BeginResponse(ResponseHead const& aHead);
  /// Whether the response being forwarded is a stream of events. The error response of a streaming route is not.
  bool ForwardsEvents() const { return this->responseBegun && !this->attempt.bufferedHead; }
  void ForwardBody(std::string aData);
  void ForwardEvents(std::string_view aBytes);
  /// Binds the stream to the software version of the endpoint that began it.
  void OnFirstEvent();
  /// Whether the response was broken off, although it ended regularly.
  bool EndsPrematurely() const;
  std::string_view PrematureEnd() const;

  // Defined in ProxiedEnd.cpp.

  /// Whether the end of the response may be that of its endpoint's process.
  bool MustCheckEnd() const;
  /// Checks whether the endpoint still listens, before its response counts as complete.
  void CheckEnd();
  void OnEndChecked(bool aListens);

  void FinishResponse();

  void OnDeadline();
  /// Logs how far the request is when its process ends before it.
  void LogUnfinished() const;
  /// Ends the request with a response that guarantees that it was not executed, or as failed if it may have been. While
  /// a stalled attempt may still answer, Refuse() and Fail() go on with it instead.
  void Refuse(std::string_view aReason, Duration aRetryAfter);
  void Fail(unsigned aStatus, std::string_view aReason);
  void End(RequestOutcome aOutcome, unsigned aStatus, std::string_view aReason);

  ProxyService& proxy;
  std::shared_ptr<Exchange> exchange;
  /// Keeps the route alive.
  std::shared_ptr<ServingTable const> table;
  Route const& route;
  ClientAccount account;
  Platform::RequestMetadata metadata;
  /// What may crash endpoints: the parts of the prompt that other requests can share, and the request itself.
  std::vector<CrashCandidate> crashCandidates;
  std::string serviceName;
  /// Decides the software version during a rollout; uniform in [0, 1).
  double versionDraw{ 0 };
  /// Set once an attempt at the target of a rollout failed.
  bool avoidsTarget{ false };
  int priority{ 0 };
  MonotonicTime targetTime{};
  MonotonicTime deadline{};
  /// When no endpoint was available for the first time.
  MonotonicTime waitingSince{};
  TimerId deadlineTimer{ 0 };
  TimerId stallTimer{ 0 };

  std::optional<RequestStages> stages;
  std::map<unsigned, StageRun> pendingStages;
  std::uint64_t lastStageRun{ 0 };
  unsigned stageRestarts{ 0 };
  std::string preferredEndpoint;

  /// The attempt in flight, or the last one.
  EndpointAttempt attempt;
  bool attempting{ false };
  /// An attempt whose endpoint is silent while another endpoint is asked. It is given up once that one answers.
  std::optional<StalledAttempt> stalled;
  std::uint64_t lastAttempt{ 0 };
  /// The software version of the endpoint that began the stream, once an event of it has been forwarded.
  std::optional<std::string> streamVersion;
  /// Set if the attempt may have crashed its endpoint, as others with one of its candidates did.
  bool suspected{ false };
  std::vector<std::string> triedEndpoints;
  /// The number of attempts that have ended.
  unsigned endedAttempts{ 0 };
  unsigned connectFailures{ 0 };
  /// Set if an endpoint may have received the request and has not reported that it did not execute it.
  bool mayHaveExecuted{ false };

  RequestTimeline timeline;
  /// The content type of the response that the caller receives.
  std::string contentType;
  bool responseBegun{ false };
  EventStream eventStream;
  bool ended{ false };
};

}
