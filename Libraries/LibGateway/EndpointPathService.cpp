#include "EndpointPathService.h"
#include "GatewayNames.h"

namespace Hornbeam::Gateway {

/// A lost link must be known 1.5 s after it was lost, and forgotten 1 s after it is back.
static constexpr Duration kProbeInterval = 500ms;
static constexpr Duration kProbeTimeout = 300ms;
static constexpr std::size_t kProbedEndpoints = 2;

static PathOutcome
ToPathOutcome(ConnectionOutcome aOutcome)
{
  switch (aOutcome) {
    case ConnectionOutcome::Established:
      return PathOutcome::Connected;
    case ConnectionOutcome::NotConnected:
      return PathOutcome::NotConnected;
    case ConnectionOutcome::TunnelRefused:
      return PathOutcome::Refused;
    case ConnectionOutcome::EndpointUnreached:
      return PathOutcome::EndpointUnreached;
  }
  VerifyNotReached();
}

EndpointPathService::EndpointPathService(Kernel& aKernel, uv_loop_t& aLoop, StreamConnector aConnector)
  : settings(aKernel.Find<GatewaySettings const>(GatewayName::kSettings))
  , stateCache(aKernel.Find<StateCache>(GatewayName::kStateCache))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , connections(aKernel.Find<ConnectionPool>(GatewayName::kConnections))
  , connector(std::move(aConnector))
  , tunnels(aLoop,
            this->clock,
            this->connector,
            { [this](std::string const& aAddress) { return this->Permit(aAddress); },
              [this](std::string const& aAddress, bool aConnected) {
                this->OnConnection(
                  aAddress, "", aConnected ? ConnectionOutcome::Established : ConnectionOutcome::NotConnected);
              },
              [](std::string const& aAddress, TunnelEnd aEnd, std::uint64_t aAnswerBytes) {
                PART_LOG("paths") << "event=helped endpoint=" << aAddress << " end=" << ToString(aEnd)
                                  << " answer_bytes=" << aAnswerBytes;
              } })
{
  this->connections.SetPaths(
    { [this](std::string const& aAddress) { return this->Choose(aAddress); },
      [this](std::string const& aAddress, std::string const& aTunnel, ConnectionOutcome aOutcome) {
        this->OnConnection(aAddress, aTunnel, aOutcome);
      },
      [this](std::string const& aAddress) {
        if (aAddress != this->settings.storeAddress)
          OnDirectBytes(this->paths, aAddress, this->clock.Now());
      },
      [](std::string const& aAddress, std::string const& aTunnel, StreamEnd aEnd) {
        PART_LOG("paths") << "event=tunnel-ended endpoint=" << aAddress << " over=" << aTunnel
                          << " end=" << ToString(aEnd);
      } });
}

bool
EndpointPathService::Open()
{
  return this->settings.tunnelAddress.empty() || this->tunnels.Open(this->settings.tunnelAddress);
}

void
EndpointPathService::Start()
{
  this->clock.Schedule(kProbeInterval, [this] { this->ProbeLinks(); });
}

bool
EndpointPathService::IsLinkInDoubt(std::string const& aAddress) const
{
  return Gateway::IsLinkInDoubt(this->paths, aAddress, this->clock.Now());
}

std::string
EndpointPathService::Choose(std::string const& aAddress) const
{
  if (this->paths.missed.empty() || aAddress == this->settings.storeAddress)
    return "";
  PathView const view{
    this->stateCache.Fronts(), this->settings.name, this->settings.dataCenter, this->settings.region
  };
  return ChooseTunnel(this->paths, view, aAddress, this->clock.Now());
}

void
EndpointPathService::OnConnection(std::string const& aAddress, std::string const& aTunnel, ConnectionOutcome aOutcome)
{
  if (aAddress == this->settings.storeAddress)
    return;
  auto const now = this->clock.Now();
  if (aTunnel.empty())
    OnDirectConnection(this->paths, aAddress, ToPathOutcome(aOutcome), now);
  else
    OnTunnelConnection(this->paths, aAddress, aTunnel, ToPathOutcome(aOutcome), now);
  if (!aTunnel.empty()) {
    this->throughOthers += aOutcome == ConnectionOutcome::Established ? 1 : 0;
    PART_LOG("paths") << "event=tunnel endpoint=" << aAddress << " over=" << aTunnel
                      << " outcome=" << ToString(aOutcome);
  }
  this->NoteState();
}

void
EndpointPathService::NoteState()
{
  bool const cutOff = this->IsCutOff();
  if (cutOff == std::exchange(this->wasCutOff, cutOff))
    return;
  PART_WARNING("paths") << "event=" << (cutOff ? "cut-off" : "reached-again") << " missed=" << this->paths.missed.size()
                        << " last_reached_ms=" << Milliseconds(this->clock.Now() - this->paths.lastReached);
  if (!cutOff)
    return;
  for (auto const& [id, endpoint] : this->stateCache.Endpoints().byId)
    this->connections.CloseIdleConnections(endpoint.entry.address);
}

bool
EndpointPathService::IsEndpoint(std::string const& aAddress) const
{
  auto const& endpoints = this->stateCache.Endpoints().byId;
  return std::ranges::any_of(endpoints, [&](auto const& aEntry) { return aEntry.second.entry.address == aAddress; });
}

TunnelPermission
EndpointPathService::Permit(std::string const& aAddress) const
{
  if (!this->IsEndpoint(aAddress))
    return TunnelPermission::NotAnEndpoint;
  return this->IsCutOff() ? TunnelPermission::LinkLost : TunnelPermission::Granted;
}

void
EndpointPathService::ProbeLinks()
{
  this->clock.Schedule(kProbeInterval, [this] { this->ProbeLinks(); });
  this->NoteState();
  auto const& endpoints = this->stateCache.Endpoints();
  for (auto const& address : EndpointsToProbe(this->paths, endpoints, kProbedEndpoints, this->clock.Now())) {
    if (this->IsEndpoint(address))
      this->ProbeLink(address);
    else
      this->paths.missed.erase(address);
  }
}

void
EndpointPathService::ProbeLink(std::string const& aAddress)
{
  // The probe ends with the first of its outcome and the timer.
  auto const stream = std::make_shared<std::shared_ptr<TcpStream>>();
  auto const onEnd = [this, aAddress, stream](bool aConnected) {
    if (!*stream)
      return;
    std::exchange(*stream, nullptr)->Reset();
    this->OnConnection(aAddress, "", aConnected ? ConnectionOutcome::Established : ConnectionOutcome::NotConnected);
  };
  *stream = this->connector(aAddress, {}, onEnd);
  this->clock.Schedule(kProbeTimeout, [onEnd] { onEnd(false); });
}

}
