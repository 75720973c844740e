#include "StateCache.h"

namespace Hornbeam::Gateway {

void
StateCache::ApplySignals(EndpointProcess const& aProcess, AnswerSignals const& aAnswer, std::string const& aSource)
{
  auto const now = this->clock.Now();
  auto const change = OnAnswerSignals(this->endpoints, aProcess, aAnswer, this->fronts.byName.size(), now);
  if (change == SignalChange::None)
    return;
  auto const& signals = this->endpoints.byId.at(aProcess.id).signals;
  auto const log = [&](std::string_view aEvent) {
    PART_LOG("endpoints") << "event=" << aEvent << " id=" << aProcess.id
                          << " limit=" << (signals.limit ? std::to_string(*signals.limit) : "none")
                          << " interval_ms=" << Milliseconds(signals.sendInterval)
                          << " paused_ms=" << std::max<std::int64_t>(0, Milliseconds(signals.pausedUntil - now))
                          << " source=" << aSource;
  };
  switch (change) {
    case SignalChange::LeavingBegan:
      log("says-leaving");
      this->connections.CloseIdleConnections(aProcess.address);
      break;
    case SignalChange::LimitChanged:
      log("limited");
      break;
    case SignalChange::LimitEnded:
      log("limit-ended");
      break;
    case SignalChange::PauseBegan:
      log("asked-to-wait");
      break;
    case SignalChange::None:
      break;
  }
  this->NotifyListeners();
}

}
