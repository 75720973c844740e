#include "GatewayFront.h"
#include "GatewayNames.h"

namespace Hornbeam::Gateway {

static constexpr Duration kStopCheckInterval = 50ms;
static constexpr Duration kListenRetryDelay = 100ms;
/// Requests for readiness, the directory and metrics need no body.
static constexpr std::size_t kMaxInternalBodyBytes = 4096;
/// A chunked body occupies up to twice its size, and is encoded once more for the endpoint.
static constexpr std::size_t kCopiesOfBody = 3;

GatewayFront::GatewayFront(GatewaySettings aSettings,
                           EventLoop& aLoop,
                           std::function<void()> aOnStopped,
                           StreamConnector aConnector)
  : settings(std::move(aSettings))
  , loop(aLoop)
  , onStopped(std::move(aOnStopped))
  , callerMemory(aLoop.RuntimeClock(), this->settings.callerLimits)
  , connector(aConnector ? std::move(aConnector) : TcpConnector(aLoop.UvLoop()))
  , connections(this->connector, aLoop.RuntimeClock())
  , store(this->connections, this->settings.storeAddress)
  , peers(aLoop)
{
  this->kernel.Provide(GatewayName::kSettings, static_cast<GatewaySettings const&>(this->settings));
  this->kernel.Provide(GatewayName::kClock, aLoop.RuntimeClock());
  this->kernel.Provide(GatewayName::kEventLoop, static_cast<EventLoop const&>(aLoop));
  this->kernel.Provide(GatewayName::kCallerMemory, static_cast<CallerMemory const&>(this->callerMemory));
  this->kernel.Provide(GatewayName::kConnections, this->connections);
  this->kernel.Provide(GatewayName::kStore, this->store);
  this->kernel.Provide(GatewayName::kPeers, this->peers);
  this->kernel.Provide(GatewayName::kMetrics, this->metrics);
  this->stateCache = std::make_unique<StateCache>(this->kernel);
  this->kernel.Provide(GatewayName::kStateCache, *this->stateCache);
  this->endpointPaths = std::make_unique<EndpointPathService>(this->kernel, aLoop.UvLoop(), this->connector);
  this->kernel.Provide(GatewayName::kEndpointPaths, *this->endpointPaths);
  this->rollouts = std::make_unique<RolloutService>(this->kernel);
  this->kernel.Provide(GatewayName::kRollouts, *this->rollouts);
  this->stageOwner = std::make_unique<StageOwnerService>(this->kernel);
  this->kernel.Provide(GatewayName::kStageOwner, *this->stageOwner);
  this->stages = std::make_unique<StageService>(this->kernel);
  this->kernel.Provide(GatewayName::kStages, *this->stages);
  this->presence = std::make_unique<PresenceService>(this->kernel);
  this->kernel.Provide(GatewayName::kPresence, *this->presence);
  this->relay = std::make_unique<RelayService>(this->kernel);
  this->kernel.Provide(GatewayName::kRelay, *this->relay);
  this->crashes = std::make_unique<CrashService>(this->kernel);
  this->kernel.Provide(GatewayName::kCrashes, *this->crashes);
  this->streamOrigins = std::make_unique<StreamOriginService>(this->kernel);
  this->kernel.Provide(GatewayName::kStreamOrigins, *this->streamOrigins);
  this->loads = std::make_unique<LoadService>(this->kernel);
  this->kernel.Provide(GatewayName::kLoads, *this->loads);
  this->proxy = std::make_unique<ProxyService>(this->kernel);
  this->kernel.Provide(GatewayName::kProxy, *this->proxy);
  this->explain = std::make_unique<ExplainService>(this->kernel);
  this->kernel.Provide(GatewayName::kExplain, *this->explain);
  this->directory = std::make_unique<DirectoryService>(this->kernel);
  this->kernel.Provide(GatewayName::kDirectory, *this->directory);
}

HttpListener&
GatewayFront::AddEntry(CallerGroup aGroup, std::string aAddress, ExchangeHandler aHandler)
{
  this->entries.push_back(
    { std::make_unique<HttpListener>(this->loop.UvLoop(), this->loop.RuntimeClock(), std::move(aHandler)),
      std::move(aAddress) });
  auto& context = this->entries.back().listener->Context();
  context.memory = &this->callerMemory;
  context.group = aGroup;
  if (aGroup == CallerGroup::Internal)
    context.limits.message.bodyBytes = kMaxInternalBodyBytes;
  return *this->entries.back().listener;
}

FrontPeerHandlers
GatewayFront::PeerHandlers()
{
  FrontPeerHandlers handlers;
  handlers.runStage = [this](RemoteStageJob aJob, StageCallback aDone) {
    return this->stageOwner->RunStage(std::move(aJob), std::move(aDone));
  };
  handlers.releaseResults = [this](std::string const& aService, std::vector<std::string> const& aHandles) {
    this->stageOwner->Release(aService, aHandles);
  };
  handlers.status = [this] { return this->presence->Status(); };
  handlers.cachedState = [this] {
    CachedState state;
    for (auto& [kind, document] : this->stateCache->CachedObjects())
      state.objects.push_back({ unsigned(kind), std::move(document) });
    state.coverage = this->stateCache->IsLoaded() ? CacheCoverage::AllKinds : CacheCoverage::SomeKinds;
    return state;
  };
  handlers.follow = [this](FollowRequest aRequest, FollowCallback aDone) {
    return this->relay->Serve(std::move(aRequest), std::move(aDone));
  };
  handlers.recordStreams = [this](std::vector<StreamRecord> const& aRecords) {
    this->streamOrigins->OnRecords(aRecords);
  };
  handlers.findStream = [this](StreamQuestion const& aQuestion, OriginCallback aDone) {
    this->streamOrigins->FindAsKeeper(aQuestion, std::move(aDone));
  };
  handlers.exchangeLoads = [this](LoadReport aReport) { return this->loads->OnReport(std::move(aReport)); };
  handlers.reportVersions = [this](RemoteVersionReport const& aReport) { return this->rollouts->OnReport(aReport); };
  return handlers;
}

void
GatewayFront::AddEntries()
{
  this->callers = &this->AddEntry(
    CallerGroup::Callers, this->settings.callerAddress, [this](auto aExchange) { this->proxy->Handle(aExchange); });
  this->callers->Context().onRejected = [](unsigned aStatus, std::string_view aReason) {
    PART_LOG("callers") << "event=rejected status=" << aStatus << " reason=\"" << aReason << "\"";
  };
  this->AddEntry(CallerGroup::Internal, this->settings.readinessAddress, [this](auto aExchange) {
    this->directory->HandleReadiness(aExchange);
  });
  this->AddEntry(CallerGroup::Internal, this->settings.directoryAddress, [this](auto aExchange) {
    this->directory->HandleDirectory(aExchange);
  });
  this->AddEntry(CallerGroup::Internal, this->settings.metricsAddress, [this](auto aExchange) {
    this->directory->HandleMetrics(aExchange);
  });
}

bool
GatewayFront::Open(Duration aRetryTime)
{
  if (this->entries.empty())
    this->AddEntries();
  auto& clock = this->loop.RuntimeClock();
  auto const limit = clock.Now() + aRetryTime;
  while (!this->ListenOnAll()) {
    if (clock.Now() >= limit) {
      LOG(ERROR) << "front: event=cannot-listen tried_ms=" << Milliseconds(aRetryTime);
      return false;
    }
    bool due = false;
    clock.Schedule(kListenRetryDelay, [&due] { due = true; });
    this->loop.RunUntil([&due] { return due; });
  }
  return true;
}

bool
GatewayFront::ListenOnAll()
{
  bool const opened =
    std::ranges::all_of(this->entries, [](auto const& aEntry) { return aEntry.listener->Open(aEntry.address); }) &&
    this->endpointPaths->Open() && this->ServePeers();
  if (opened)
    return true;
  // A front that is not started must not accept connections.
  for (auto const& entry : this->entries)
    entry.listener->Close();
  this->endpointPaths->Close();
  return false;
}

bool
GatewayFront::ServePeers()
{
  return this->peers.Listen(this->settings.peerAddress, this->PeerHandlers());
}

void
GatewayFront::Start()
{
  PART_LOG("front") << "event=start name=" << this->settings.name << " data_center=" << this->settings.dataCenter
                    << " callers=" << this->settings.callerAddress << " store=" << this->settings.storeAddress
                    << " incarnation=" << this->presence->OwnEntry().incarnation;
  this->stateCache->AddChangeListener([this] { this->ApplyCallerLimits(); });
  this->relay->Start();
  this->endpointPaths->Start();
  this->presence->Start();
  this->crashes->Start();
  this->streamOrigins->Start();
  this->loads->Start();
  this->rollouts->Start();
}

void
GatewayFront::ApplyCallerLimits()
{
  auto const table = this->stateCache->Table();
  if (!table)
    return;
  auto const& rules = table->callers;
  auto& limits = this->callers->Context().limits;
  limits.message = { rules.maxHeaderBytes, rules.maxBodyBytes };
  limits.headerTimeout = rules.headerTimeout;
  limits.idleTimeout = rules.idleTimeout;
  auto const needed = kCopiesOfBody * rules.maxBodyBytes;
  if (needed > this->settings.callerLimits.bytes && needed != std::exchange(this->loggedNeed, needed))
    PART_WARNING("callers") << "event=limit-below-one-request limit_bytes=" << this->settings.callerLimits.bytes
                            << " needed_bytes=" << needed << " max_body_bytes=" << rules.maxBodyBytes;
}

void
GatewayFront::Reload(GatewaySettings const& aSettings)
{
  // Names and addresses are fixed for the lifetime of the process.
  this->settings.graceTime = aSettings.graceTime;
  this->settings.directoryLifetime = aSettings.directoryLifetime;
  this->settings.retries = aSettings.retries;
  this->settings.cold = aSettings.cold;
  this->settings.exchangeLoadsFrom = aSettings.exchangeLoadsFrom;
  this->settings.callerLimits = aSettings.callerLimits;
  this->callerMemory.SetLimits(aSettings.callerLimits);
  PART_LOG("front") << "event=reload name=" << this->settings.name;
}

void
GatewayFront::BeginDraining()
{
  if (this->stop)
    return;
  auto const now = this->loop.RuntimeClock().Now();
  // Some callers use a directory response for three times its lifetime.
  this->stop = PlanStop(this->settings.graceTime, 3 * this->settings.directoryLifetime, now);
  PART_LOG("front") << "event=draining active=" << this->proxy->ActiveRequests()
                    << " requests_end_ms=" << Milliseconds(this->stop->requestsEnd - now);
  this->explain->BeginDraining();
  this->directory->BeginDraining();
  this->presence->Deregister();
  this->stageOwner->HandOff(this->stop->requestsEnd);
  this->callers->Context().use = ConnectionUse::Close;
  this->proxy->BeginStop(*this->stop);
  this->ContinueStop();
}

StopProgress
GatewayFront::MakeStopProgress() const
{
  StopProgress progress;
  progress.requests = this->proxy->ActiveRequests();
  progress.hasForeignWork = !this->stageOwner->IsIdle() || !this->stages->IsIdle() || this->endpointPaths->IsBusy();
  progress.step = this->stopStep;
  for (auto const& entry : this->entries)
    progress.connections += entry.listener->Context().connections.size();
  return progress;
}

void
GatewayFront::ContinueStop()
{
  auto& clock = this->loop.RuntimeClock();
  this->endpointPaths->ContinueStop();
  auto const progress = this->MakeStopProgress();
  auto const step = NextStopStep(*this->stop, progress, clock.Now());
  auto const elapsed = clock.Now() - this->stop->began;
  bool const advanced = step != std::exchange(this->stopStep, step);
  if (advanced)
    PART_LOG("front") << "event=" << (step == StopStep::EndProcess ? "stop" : "closing")
                      << " active=" << progress.requests << " connections=" << progress.connections
                      << " after_ms=" << Milliseconds(elapsed);
  if (step == StopStep::EndProcess) {
    this->proxy->EndRequests();
    // The event loop finishes its turn after the stop; it must not read another request.
    for (auto const& entry : this->entries) {
      entry.listener->BeginClosing();
      entry.listener->ResetConnections();
    }
    this->onStopped();
    return;
  }
  if (step == StopStep::CloseConnections && advanced) {
    this->proxy->EndRequests();
    for (auto const& entry : this->entries)
      entry.listener->BeginClosing();
  }
  this->proxy->RefuseUnfinishable();
  clock.Schedule(kStopCheckInterval, [this] { this->ContinueStop(); });
}

}
