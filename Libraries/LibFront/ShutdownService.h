#pragma once

#include "RequestService.h"

namespace Hornbeam {

/// A graceful shutdown: new callers are sent to other fronts, callers that keep this front's address are still served
/// until it expires, requests in flight are completed, the front leaves the membership, and the process exits.
class ShutdownService
{
public:
  ShutdownService(Kernel& aKernel, std::function<void()> aOnEnded);

  void Begin();

private:
  void Poll();
  void CloseAdmission();
  Duration LeaveReserve() const;

  Clock& clock;
  MembershipService& membership;
  RequestService& requests;
  FrontSettings const& settings;
  std::function<void()> end;
  std::optional<MonotonicTime> startedAt;
  /// When the front exits at the latest.
  MonotonicTime exitAt{};
  std::optional<MonotonicTime> leaveStartedAt;
  bool admissionClosed{ false };
};

}
