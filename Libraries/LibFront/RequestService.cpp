#include "ActiveRequest.h"
#include <algorithm>
#include <utility>

namespace Hornbeam {

/// How long a new request waits for the lease, so that a change of epoch does not cause refusals.
static constexpr Duration kMaxLeaseWait = 1500ms;
/// How long a new request waits for a slot of its account.
static constexpr Duration kMaxAccountWait = 200ms;
static constexpr Duration kKeyPruneInterval = 1s;
/// How long after a forwarded request's deadline its response is still awaited.
static constexpr Duration kForwardTimeoutMargin = 100ms;
/// How much the wall clocks of fronts may differ: one front issues key prefixes that another one checks.
static constexpr Duration kMaxClockSkew = 300s;

RequestService::RequestService(Kernel& aKernel)
  : clock(aKernel.Find<Clock>(ServiceName::kClock))
  , membership(aKernel.Find<MembershipService>(ServiceName::kMembership))
  , configuration(aKernel.Find<ConfigurationService>(ServiceName::kConfiguration))
  , grants(aKernel.Find<GrantService>(ServiceName::kGrants))
  , peers(aKernel.Find<PeerPort>(ServiceName::kPeerPort))
  , endpoints(aKernel.Find<EndpointPort>(ServiceName::kEndpointPort))
  , settings(aKernel.Find<FrontSettings const>(ServiceName::kSettings))
{
}

void
RequestService::Start()
{
  auto const scheduleReview = [this] {
    if (this->dispatchScheduled)
      return;
    this->dispatchScheduled = true;
    this->clock.Schedule(Duration::zero(), [this] {
      this->dispatchScheduled = false;
      this->AdmitWaiting();
      this->DispatchAll();
    });
  };
  this->grants.OnSlotsChanged(scheduleReview);
  this->membership.OnLeaseChange([scheduleReview](bool) { scheduleReview(); });
  this->configuration.OnTableChange(scheduleReview);
  this->PruneKeys();
}

void
RequestService::PruneKeys()
{
  EvictKeys(this->keys, this->clock.WallNow());
  this->clock.Schedule(kKeyPruneInterval, [this] { this->PruneKeys(); });
}

RequestId
RequestService::Refuse(CallerRequest const& aRequest, ResponseSink const& aSink, Refusal aRefusal)
{
  PART_LOG("requests") << "refused a request for " << aRequest.pipeline << " (" << ToString(aRefusal.reason) << ", "
                       << ToString(aRefusal.run) << "): " << aRefusal.detail << ".";
  ++this->usage.refused[aRefusal.reason];
  PipelineResponse response;
  response.refusal = std::move(aRefusal);
  aSink.onResponse(response);
  return 0;
}

std::optional<Refusal>
RequestService::Validate(CallerRequest const& aRequest) const
{
  auto const& table = this->configuration.Current();
  auto const refuse = [](RefusalReason aReason, std::string aDetail) {
    return Refusal{ aReason, RunState::NotRun, std::move(aDetail), 0s };
  };
  if (table.revision == 0)
    return refuse(RefusalReason::NoLease, "this front has no configuration yet");
  auto const pipeline = table.pipelines.find(aRequest.pipeline);
  if (pipeline == table.pipelines.end())
    return refuse(RefusalReason::UnknownPipeline, "there is no pipeline " + aRequest.pipeline);
  if (!table.accounts.contains(aRequest.account))
    return refuse(RefusalReason::UnknownAccount, "there is no account " + aRequest.account);
  if (aRequest.deadline && (*aRequest.deadline <= 0ms || *aRequest.deadline > pipeline->second.deadline)) {
    auto const longest = std::to_string(Milliseconds(pipeline->second.deadline));
    return refuse(RefusalReason::BadRequest, "deadline_ms must be from 1 to " + longest);
  }
  bool const repeatable = pipeline->second.repeatability == Repeatability::Repeatable;
  if (!repeatable && aRequest.key.empty())
    return refuse(RefusalReason::BadRequest, "pipeline " + aRequest.pipeline + " is not repeatable: a key is required");
  if (repeatable && !aRequest.key.empty())
    return refuse(RefusalReason::BadRequest, "pipeline " + aRequest.pipeline + " is repeatable: it takes no key");
  return std::nullopt;
}

RequestId
RequestService::Submit(CallerRequest const& aRequest, ResponseSink aSink)
{
  ++this->usage.received;
  if (auto refusal = this->Validate(aRequest)) {
    // A request with a key may be running or have run at the front that the key names.
    if (!aRequest.key.empty())
      refusal->run = RunState::MayHaveRun;
    return this->Refuse(aRequest, aSink, std::move(*refusal));
  }
  auto const& pipeline = this->configuration.Current().pipelines.at(aRequest.pipeline);
  // After a pause of this process, it reads requests whose callers have timed out long ago.
  if (this->clock.EarliestArrival() + aRequest.deadline.value_or(pipeline.deadline) <= this->clock.Now()) {
    auto const run = aRequest.key.empty() ? RunState::NotRun : RunState::MayHaveRun;
    return this->Refuse(aRequest, aSink, { RefusalReason::DeadlinePassed, run, "this front was paused", 0s });
  }
  if (!aRequest.key.empty())
    return this->SubmitWithKey(aRequest, std::move(aSink), pipeline);
  return this->StartRequest(aRequest, std::move(aSink), pipeline);
}

RequestId
RequestService::SubmitWithKey(CallerRequest const& aRequest, ResponseSink aSink, PipelineRow const& aPipeline)
{
  LastReason reason;
  auto const key = ParseIdempotencyKey(aRequest.key, reason);
  if (!key)
    return this->Refuse(aRequest, aSink, { RefusalReason::BadRequest, RunState::NotRun, reason.detail, 0s });
  auto const& self = this->membership.Self();
  if (key->front != self.name || key->incarnation != self.incarnation)
    return this->Forward(aRequest, std::move(aSink), *key);
  auto const now = this->clock.WallNow();
  if (key->expiresAt > now + this->settings.callers.keyValidity + kMaxClockSkew) {
    Refusal refusal{ RefusalReason::BadRequest, RunState::NotRun, "the key's prefix was not issued by a front", 0s };
    return this->Refuse(aRequest, aSink, std::move(refusal));
  }
  auto const lookup = ClaimKey(this->keys, aRequest.key, *key, aRequest.fingerprint, this->lastRequest + 1, now);
  switch (lookup.verdict) {
    case KeyVerdict::Run:
      return this->StartRequest(aRequest, std::move(aSink), aPipeline);
    case KeyVerdict::Join:
      this->active.at(lookup.request)->sinks.push_back(std::move(aSink));
      return lookup.request;
    case KeyVerdict::Replay:
      aSink.onResponse(*lookup.response);
      return 0;
    case KeyVerdict::Expired:
      return this->Refuse(
        aRequest, aSink, { RefusalReason::KeyExpired, RunState::MayHaveRun, "the key has expired", 0s });
    case KeyVerdict::Reused: {
      Refusal refusal{
        RefusalReason::KeyReused, RunState::MayHaveRun, "the key was used for a request with other contents", 0s
      };
      return this->Refuse(aRequest, aSink, std::move(refusal));
    }
  }
  VerifyNotReached();
}

static Refusal
HolderUnreachable(std::string const& aHolder)
{
  return { RefusalReason::KeyHolderGone,
           RunState::MayHaveRun,
           "the front that the key names, " + aHolder + ", does not answer",
           0s };
}

RequestId
RequestService::Forward(CallerRequest const& aRequest, ResponseSink aSink, IdempotencyKey const& aKey)
{
  auto const* const holder = this->membership.FindKnownMember(aKey.front, aKey.incarnation);
  if (holder == nullptr || aRequest.forwarded)
    return this->Refuse(aRequest, aSink, HolderUnreachable(aKey.front));
  if (this->admissionClosed)
    return this->Refuse(aRequest, aSink, this->StoppingRefusal(RunState::MayHaveRun));
  auto const& pipeline = this->configuration.Current().pipelines.at(aRequest.pipeline);
  auto const timeout = aRequest.deadline.value_or(pipeline.deadline) + kForwardTimeoutMargin;
  PART_LOG("requests") << "forwarding a non-repeatable request to " << holder->name << ", which its key names.";
  auto const forward = ++this->lastForward;
  this->forwards.emplace(forward, PendingForward{ aRequest, std::move(aSink), aKey.front });
  this->peers.forward(
    *holder, { aRequest.pipeline, aRequest.body }, timeout, [this, forward](std::optional<std::string> aResponse) {
      this->FinishForward(forward, aResponse);
    });
  return 0;
}

void
RequestService::FinishForward(std::uint64_t aForward, std::optional<std::string> const& aResponse)
{
  auto const pending = this->forwards.extract(aForward);
  if (pending.empty())
    return;
  auto const& [request, sink, holder] = pending.mapped();
  LastReason reason;
  auto const response = aResponse ? DecodePipelineResponse(*aResponse, reason) : std::optional<PipelineResponse>();
  if (response)
    sink.onResponse(*response);
  else
    this->Refuse(request, sink, HolderUnreachable(holder));
}

RequestId
RequestService::StartRequest(CallerRequest const& aRequest, ResponseSink aSink, PipelineRow const& aPipeline)
{
  auto const request = std::make_shared<ActiveRequest>();
  auto& progress = request->progress;
  // The deadline counts from the arrival of the request, including time during which this process was paused.
  auto const arrivedAt = this->clock.EarliestArrival();
  auto const deadline = aRequest.deadline.value_or(aPipeline.deadline);
  progress.id = ++this->lastRequest;
  progress.account = aRequest.account;
  progress.pipeline = aPipeline;
  progress.deadline = arrivedAt + deadline;
  this->LimitDeadline(*request);
  progress.input = aRequest.input;
  request->weight = this->configuration.Current().accounts.at(aRequest.account).weight;
  request->prefix = aRequest.prefix;
  request->key = aRequest.key;
  request->receivedAt = this->clock.Now();
  request->sinks.push_back(std::move(aSink));
  auto const id = progress.id;
  this->active.emplace(id, request);
  auto const left = progress.deadline - this->clock.Now();
  request->deadlineTimer = this->clock.Schedule(left, [this, id] { this->OnDeadline(id); });
  OnNewRequest(this->retryBudget);
  if (this->admissionClosed || this->MayOutlastThisFront(request))
    this->FinishRefused(request, this->StoppingRefusal(RunState::NotRun));
  else
    this->Admit(request);
  if (!request->admitted && !request->finished)
    this->waiting.push_back(request);
  return request->finished ? 0 : id;
}

Duration
RequestService::PredictRemainingTimeOf(RequestPointer const& aRequest)
{
  std::vector<StageOutlook> outlook;
  auto const& progress = aRequest->progress;
  auto const& table = this->configuration.Current();
  for (std::size_t stage = progress.stage; stage < progress.pipeline.stages.size(); ++stage) {
    auto const& pool = progress.pipeline.stages[stage];
    auto const row = table.pools.find(pool);
    auto const [estimate, isNew] = this->estimates.try_emplace(pool);
    if (isNew && row != table.pools.end())
      estimate->second.mean = row->second.expectedServiceTime;
    outlook.push_back({ estimate->second,
                        static_cast<int>(this->queues[pool].entries.size()),
                        std::max(this->HeldSlots(pool), this->ExpectedSlots(pool)) });
  }
  return PredictRemainingTime(outlook);
}

int
RequestService::HeldSlots(std::string const& aPool) const
{
  int slots = 0;
  for (auto const& [name, endpoint] : this->configuration.Current().endpoints) {
    auto const* const holding = endpoint.pool == aPool ? this->grants.EndpointHolding(name) : nullptr;
    slots += holding != nullptr ? holding->total : 0;
  }
  return slots;
}

/// The slots of a pool that this front can expect to be granted on request: an equal portion of the limits that the
/// owners last reported. It may hold fewer now, because unused slots are returned.
int
RequestService::ExpectedSlots(std::string const& aPool) const
{
  auto const* const record = this->membership.ActiveRecord();
  if (record == nullptr)
    return 0;
  int limits = 0;
  for (auto const& [name, endpoint] : this->configuration.Current().endpoints) {
    if (endpoint.pool == aPool)
      limits += this->grants.LastKnownLimit(name);
  }
  return limits / static_cast<int>(record->members.size());
}

/// True when the remaining stages would miss the deadline even without queueing, so that a slot would be wasted.
bool
RequestService::CannotMeetDeadline(RequestPointer const& aRequest) const
{
  auto const& progress = aRequest->progress;
  if (this->settings.policy != RoutingPolicy::Adaptive)
    return false;
  Duration minimum{ 0 };
  for (std::size_t stage = progress.stage; stage < progress.pipeline.stages.size(); ++stage) {
    auto const estimate = this->estimates.find(progress.pipeline.stages[stage]);
    if (estimate != this->estimates.end())
      minimum += estimate->second.mean;
  }
  return this->clock.Now() + minimum > progress.deadline;
}

/// Admits a new request if the lease, the deadline and the account's limit allow it now. Otherwise it keeps waiting or
/// is refused.
void
RequestService::Admit(RequestPointer const& aRequest)
{
  auto const now = this->clock.Now();
  auto const& progress = aRequest->progress;
  auto const waited = now - aRequest->receivedAt;
  if (!this->membership.HoldsLeaseNow()) {
    if (waited >= kMaxLeaseWait)
      this->FinishRefused(
        aRequest, MakeRefusal(progress, RefusalReason::NoLease, "this front takes no new work: try another one", 1s));
    return;
  }
  if (this->settings.policy != RoutingPolicy::Adaptive) {
    aRequest->admitted = true;
    this->EnqueueStage(aRequest);
    return;
  }
  if (now + this->PredictRemainingTimeOf(aRequest) > progress.deadline) {
    auto const detail = "the stages are expected to take longer than the deadline allows";
    this->FinishRefused(aRequest, this->LateRefusal(*aRequest, RefusalReason::DeadlineUnreachable, detail));
    return;
  }
  if (!this->AdmitAccount(aRequest)) {
    if (!aRequest->accountSlotRequestedAt)
      aRequest->accountSlotRequestedAt = now;
    if (now - *aRequest->accountSlotRequestedAt < kMaxAccountWait)
      return;
    auto const detail = "account " + progress.account + " has no concurrent request left";
    this->FinishRefused(aRequest, MakeRefusal(progress, RefusalReason::AccountLimit, detail, 200ms));
    return;
  }
  aRequest->admitted = true;
  this->EnqueueStage(aRequest);
}

bool
RequestService::AdmitAccount(RequestPointer const& aRequest)
{
  if (this->grants.AcquireAccountSlot(aRequest->progress.account)) {
    aRequest->holdsAccountSlot = true;
    return true;
  }
  int const others = static_cast<int>(std::ranges::count_if(this->waiting, [&](RequestPointer const& aOther) {
    return aOther != aRequest && aOther->progress.account == aRequest->progress.account;
  }));
  this->grants.SetAccountWaiting(aRequest->progress.account, others + 1);
  return false;
}

void
RequestService::AdmitWaiting()
{
  auto const reviewed = std::exchange(this->waiting, {});
  std::set<std::string> accounts;
  for (auto const& request : reviewed) {
    accounts.insert(request->progress.account);
    if (!request->finished)
      this->Admit(request);
    if (!request->finished && !request->admitted)
      this->waiting.push_back(request);
  }
  for (auto const& account : accounts) {
    bool const waits = std::ranges::any_of(
      this->waiting, [&](RequestPointer const& aRequest) { return aRequest->progress.account == account; });
    if (!waits)
      this->grants.SetAccountWaiting(account, 0);
  }
  if (!this->waiting.empty())
    this->clock.Schedule(20ms, [this] { this->AdmitWaiting(); });
}

void
RequestService::EnqueueStage(RequestPointer const& aRequest)
{
  auto const& progress = aRequest->progress;
  auto const& pool = progress.pipeline.stages[progress.stage];
  Enqueue(this->queues[pool], { progress.id, progress.account, aRequest->weight, progress.stage, progress.deadline });
  this->DispatchPool(pool);
}

void
RequestService::DispatchAll()
{
  std::vector<std::string> pools;
  for (auto const& [pool, queue] : this->queues) {
    if (!queue.entries.empty())
      pools.push_back(pool);
  }
  for (auto const& pool : pools)
    this->DispatchPool(pool);
}

void
RequestService::DispatchPool(std::string const& aPool)
{
  while (this->DispatchNext(aPool)) {
  }
  this->ReportWaiting(aPool);
}

/// Sends or refuses the next entry of the pool's queue. Returns false when there is none that can be sent now.
bool
RequestService::DispatchNext(std::string const& aPool)
{
  auto& queue = this->queues[aPool];
  auto const next = PeekNext(queue);
  if (!next)
    return false;
  auto const request = this->active.at(next->request);
  if (this->CannotMeetDeadline(request)) {
    auto const detail = "the remaining stages take longer than is left";
    this->FinishRefused(request, this->LateRefusal(*request, RefusalReason::DeadlineUnreachable, detail));
    return true;
  }
  auto const candidates = this->CandidatesOf(aPool, request);
  ChoiceContext context;
  context.policy = this->settings.policy;
  context.affinityKey = request->prefix;
  context.slack = request->progress.deadline - this->clock.Now();
  context.turn = this->roundRobinTurns[aPool]++;
  auto const choice = ChooseEndpoint(candidates, context);
  if (!choice)
    return false;
  auto const& endpoint = this->configuration.Current().endpoints.at(candidates[choice->index].name);
  if (context.policy == RoutingPolicy::Adaptive && !this->grants.AcquireEndpointSlot(endpoint.name))
    return false;
  DequeueEntry(queue, next->request);
  this->StartAttempt(request, EndpointRow(endpoint), *choice);
  return true;
}

/// Divides the waiting requests among the pool's endpoints, so that the owners of the endpoints learn the demand.
void
RequestService::ReportWaiting(std::string const& aPool)
{
  if (this->settings.policy != RoutingPolicy::Adaptive)
    return;
  std::vector<std::string> open;
  auto const& table = this->configuration.Current();
  for (auto const& [name, endpoint] : table.endpoints) {
    if (endpoint.pool != aPool)
      continue;
    bool const closed = IsOutOfRotation(table, endpoint) || this->membership.IsLeavingAddress(endpoint.address);
    if (closed)
      this->grants.SetEndpointWaiting(name, 0);
    else
      open.push_back(name);
  }
  auto const waitingHere = this->queues[aPool].entries.size();
  auto const waitingPerEndpoint = open.empty() ? 0 : (waitingHere + open.size() - 1) / open.size();
  for (auto const& name : open)
    this->grants.SetEndpointWaiting(name, static_cast<int>(waitingPerEndpoint));
}

std::vector<Candidate>
RequestService::CandidatesOf(std::string const& aPool, RequestPointer const& aRequest)
{
  std::vector<Candidate> candidates;
  auto const& table = this->configuration.Current();
  auto const now = this->clock.Now();
  for (auto const& [name, endpoint] : table.endpoints) {
    if (endpoint.pool != aPool || IsOutOfRotation(table, endpoint) ||
        this->membership.IsLeavingAddress(endpoint.address))
      continue;
    auto const& known = this->grants.ViewOf(endpoint);
    auto const* const holding = this->grants.EndpointHolding(name);
    Candidate candidate;
    candidate.name = name;
    candidate.sameDataCenter = endpoint.dataCenter == this->settings.dataCenter;
    candidate.weight = endpoint.weight;
    candidate.freeSlots = this->grants.FreeEndpointSlots(name);
    candidate.used = holding != nullptr ? holding->used : 0;
    candidate.total = holding != nullptr ? holding->total : 0;
    candidate.cold = known.cold;
    candidate.ejected = IsEjected(known.outlier, now);
    candidate.tried = aRequest->progress.failedEndpoints.contains(name);
    candidate.expectedLatency = known.latency.mean;
    if (this->settings.policy != RoutingPolicy::Adaptive)
      candidate.used = this->outstanding[name];
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void
RequestService::OnDeadline(RequestId aRequest)
{
  auto const found = this->active.find(aRequest);
  if (found == this->active.end())
    return;
  auto const request = found->second;
  auto const& progress = request->progress;
  bool const responseLost = progress.sent && progress.pipeline.repeatability == Repeatability::NotRepeatable;
  auto const reason = responseLost ? RefusalReason::AnswerLost : RefusalReason::DeadlinePassed;
  auto const place = request->attempt ? "at " + request->attempt->endpoint : std::string("while it waited");
  this->FinishRefused(request, this->LateRefusal(*request, reason, "the deadline passed " + place));
}

void
RequestService::HandleDisconnect(RequestId aRequest)
{
  auto const found = this->active.find(aRequest);
  if (found == this->active.end() || !found->second->key.empty())
    return;
  this->FinishRefused(found->second,
                      MakeRefusal(found->second->progress, RefusalReason::AttemptsFailed, "the caller has gone", 0s));
}

void
RequestService::FinishRefused(RequestPointer const& aRequest, Refusal const& aRefusal)
{
  ++this->usage.refused[aRefusal.reason];
  PART_LOG("requests") << "refused request " << aRequest->progress.id << " for " << aRequest->progress.pipeline.name
                       << " (" << ToString(aRefusal.reason) << ", " << ToString(aRefusal.run)
                       << "): " << aRefusal.detail << ".";
  PipelineResponse response;
  response.refusal = aRefusal;
  this->Finish(aRequest, response);
}

void
RequestService::Finish(RequestPointer const& aRequest, PipelineResponse const& aResponse)
{
  VERIFY(!aRequest->finished);
  aRequest->finished = true;
  this->usage.completed += aResponse.refusal ? 0 : 1;
  this->AbandonAttempt(aRequest);
  auto const& progress = aRequest->progress;
  this->clock.Cancel(aRequest->deadlineTimer);
  if (progress.stage < progress.pipeline.stages.size()) {
    auto const& pool = progress.pipeline.stages[progress.stage];
    RemoveEntry(this->queues[pool], progress.id);
    this->ReportWaiting(pool);
  }
  if (aRequest->holdsAccountSlot)
    this->grants.ReleaseAccountSlot(progress.account);
  if (!aRequest->key.empty())
    CompleteKey(this->keys, aRequest->key, aResponse);
  this->active.erase(progress.id);
  auto const sinks = std::move(aRequest->sinks);
  for (auto const& sink : sinks)
    sink.onResponse(aResponse);
}

}
