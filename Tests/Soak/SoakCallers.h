#pragma once

#include "SoakWorld.h"
#include <random>

namespace Hornbeam::Testing {

enum class SoakRequestKind
{
  Once,
  Safe,
  Model,
  Staged,
};

/// One request, and what its caller saw.
struct SoakRequest
{
  std::string id;
  SoakRequestKind kind{ SoakRequestKind::Safe };
  unsigned front{ 0 };
  MonotonicTime sent{};
  MonotonicTime endedAt{};
  bool ended{ false };
  Gateway::CallEnd end{ Gateway::CallEnd::NotSent };
  unsigned status{ 0 };
  std::string body;
};

/// Callers with kept connections, which use them until the process is gone, and the promises that they check.
class SoakCallers
{
public:
  SoakCallers(SoakWorld& aWorld, unsigned aSeed);

  /// Sends to random fronts for this long, then waits until all are answered.
  void Load(Duration aTime, Duration aGap);

  /// Promises broken so far, seen by callers and endpoints.
  std::vector<std::string> CheckPromises() const;

  /// Each front must serve, with the newest table, once all faults are over.
  std::vector<std::string> CheckRecovery();

  std::size_t Sent() const { return this->requests.size(); }
  std::size_t Served() const;

  /// The median and the 99th percentile of the served, by kind.
  void PrintTimes() const;

private:
  void Send(SoakRequestKind aKind, unsigned aFront);
  void WaitForAll();
  std::optional<std::string> FaultOf(SoakRequest const& aRequest, std::map<std::string, unsigned> const& aRuns) const;
  bool IsServed(SoakRequest const& aRequest) const;
  std::uint64_t TableVersionAt(unsigned aFront);

  SoakWorld& world;
  Gateway::ConnectionPool connections;
  std::mt19937 random;
  std::vector<std::shared_ptr<SoakRequest>> requests;
};

}
