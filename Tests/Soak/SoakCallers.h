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

/// A request and its outcome as seen by the caller.
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

/// The body of a whole stream of a stand-in endpoint.
std::string
WholeStream(std::string const& aId, unsigned aEvents);

/// Callers that use a new connection for each request, and that check the guarantees of the fronts.
class SoakCallers
{
public:
  SoakCallers(SoakWorld& aWorld, unsigned aSeed);

  /// Sends requests to random fronts for aTime, one every aGap, then waits until all have ended.
  void Load(Duration aTime, Duration aGap);

  /// Returns the violated guarantees so far, as observed by callers and endpoints.
  std::vector<std::string> CheckGuarantees() const;

  /// Checks that each front serves requests and has applied the newest table after all faults are cleared.
  std::vector<std::string> CheckRecovery();

  std::size_t Sent() const { return this->requests.size(); }
  std::size_t Served() const;

  /// Prints the median and the 99th percentile of the response times of served requests, by kind.
  void PrintTimes() const;

private:
  void Send(SoakRequestKind aKind, unsigned aFront);
  void WaitForAll();
  std::optional<std::string> ViolationOf(SoakRequest const& aRequest,
                                         std::map<std::string, unsigned> const& aRuns) const;
  bool IsServed(SoakRequest const& aRequest) const;
  std::uint64_t TableVersionAt(unsigned aFront);

  SoakWorld& world;
  Gateway::ConnectionPool connections;
  std::mt19937 random;
  std::vector<std::shared_ptr<SoakRequest>> requests;
};

}
