#include "RunFront.h"
#include "EndOfProcess.h"
#include "ExitCodes.h"
#include "StopSignal.h"

namespace Hornbeam {

namespace {

/// The event loop, the transports and the services of one front process.
struct FrontProcess
{
  explicit FrontProcess(FrontSettings const& aSettings)
    : clock(ClockMode::Running)
    , loop(clock)
    , http(loop)
    , client(http)
    , store(client, clock, aSettings.store)
    , peers(loop)
    , storePort(store.Port())
    , peerPort(peers.Port())
    , endpointPort(MakeHttpEndpointPort(client))
    , front(aSettings, IncarnationFrom(clock), { clock, storePort, peerPort, endpointPort }, [this] {
      hasEnded = true;
    })
  {
    this->front.Find<MetricsService>(ServiceName::kMetrics).AddPortUsage(this->store.Usage(), this->peers.Usage());
  }

  /// The start time of the process, so that a later process under the same name has a greater incarnation.
  static Incarnation IncarnationFrom(Clock const& aClock)
  {
    return static_cast<Incarnation>(aClock.WallNow().time_since_epoch().count());
  }

  bool hasEnded{ false };
  Clock clock;
  EventLoop loop;
  HttpContext http;
  HttpClient client;
  HttpStore store;
  PeerNetwork peers;
  StorePort storePort;
  PeerPort peerPort;
  EndpointPort endpointPort;
  Front front;
};

std::unique_ptr<HttpServer>
StartServer(FrontProcess& aProcess, std::string const& aAddress, HttpHandler aHandler, std::size_t aBodyLimit)
{
  auto server = std::make_unique<HttpServer>(aProcess.http, aAddress, std::move(aHandler), aBodyLimit);
  if (server->IsListening())
    return server;
  LOG(ERROR) << "front: cannot listen on " << aAddress << ".";
  return nullptr;
}

}

int
RunFront(FrontSettings const& aSettings)
{
  kj::UnixEventPort::captureSignal(SIGTERM);
  kj::UnixEventPort::captureSignal(SIGINT);
  FrontProcess process(aSettings);
  auto& callers = process.front.Find<CallerService>(ServiceName::kCallers);
  auto& administration = process.front.Find<AdministrationService>(ServiceName::kAdministration);
  auto const callerServer = StartServer(
    process,
    aSettings.callerAddress,
    [&](HttpRequest const& aRequest, HttpResponder aResponder) { callers.Handle(aRequest, aResponder); },
    aSettings.callers.bodyLimit);
  auto const administrationServer = StartServer(
    process,
    aSettings.administrationAddress,
    [&](HttpRequest const& aRequest, HttpResponder aResponder) { administration.Handle(aRequest, aResponder); },
    aSettings.callers.bodyLimit);
  if (!callerServer || !administrationServer)
    return kExitCannotListen;
  if (!process.peers.Listen(aSettings.peerAddress, process.front.Handlers()))
    return kExitCannotListen;
  auto const stop = AwaitStop(process.loop, [&] {
                      callerServer->CloseAfterResponses();
                      process.front.Find<ShutdownService>(ServiceName::kShutdown).Begin();
                    }).eagerlyEvaluate(nullptr);
  process.front.Start();
  PART_LOG("front") << aSettings.name << " serves callers on " << aSettings.callerAddress << ".";
  RunUntilQuiet(process.loop, [&] { return process.hasEnded; }, { callerServer.get(), administrationServer.get() });
  // libwebsockets closes its handles only while the event loop runs, and it has ended; the kernel closes them at exit.
  FlushLog();
  std::quick_exit(0);
}

}
