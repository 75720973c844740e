#pragma once

#include "RequestService.h"

namespace Hornbeam {

/// A graceful shutdown: the front is no longer handed out, serves callers that keep its address, finishes what it has
/// begun, leaves the membership, and then ends.
class ShutdownService
{
public:
  ShutdownService(Kernel& aKernel, std::function<void()> aEnd);

  void Begin();

private:
  void Review();

  Clock& clock;
  MembershipService& membership;
  RequestService& requests;
  FrontSettings const& settings;
  std::function<void()> end;
  std::optional<MonotonicTime> begunAt;
  std::optional<MonotonicTime> leftAt;
};

}
