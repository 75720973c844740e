#pragma once

#include "SoakWorld.h"
#include <array>
#include <random>
#include <set>

namespace Hornbeam::Testing {

enum class PlannedKind
{
  Once,
  Safe,
  Model,
  Staged,
  SlowModel,
  SlowStaged,
};

enum class PlannedOutcome
{
  /// A complete response with status 2xx.
  Answered,
  /// A status which promises that the request has not run.
  Refused,
  /// Any other complete response.
  Error,
  /// No connection, or the request crossed the close of a connection and was not forwarded.
  Unreached,
  /// The request was forwarded or kept waiting, and has no complete response.
  Lost,
};

/// One attempt of a request, as seen by its caller.
struct PlannedAttempt
{
  std::string id;
  unsigned front{ 0 };
  MonotonicTime sent{};
  MonotonicTime endedAt{};
  Gateway::CallEnd end{ Gateway::CallEnd::NotSent };
  Gateway::ResponseHead head;
  std::string body;
  PlannedOutcome outcome{ PlannedOutcome::Unreached };
};

struct PlannedRequest
{
  std::string name;
  PlannedKind kind{ PlannedKind::Once };
  MonotonicTime begin{};
  std::vector<PlannedAttempt> attempts;
  bool ended{ false };
};

/// A caller with its connections and the addresses that it got from the directory of a front.
struct PlannedCaller
{
  std::unique_ptr<Gateway::ConnectionPool> connections;
  std::vector<std::string> addresses;
  MonotonicTime refreshAt{};
  /// The directory's lifetime of addresses is extended by this factor.
  unsigned patience{ 1 };
  bool isRefreshing{ false };
  std::set<std::string> failed;
};

/// Callers that behave as the platform describes: they keep connections and addresses, and try once more where that is
/// safe. They check that planned work alone loses no request.
class PlannedCallers
{
public:
  PlannedCallers(SoakWorld& aWorld, unsigned aSeed);

  /// Sends requests for aTime, one every aGap, then waits until all have ended.
  void Load(Duration aTime, Duration aGap);

  /// Returns the violated guarantees so far.
  std::vector<std::string> CheckGuarantees() const;

  /// Prints the outcomes of first attempts and of requests after all attempts.
  void PrintCounts() const;

private:
  using Counts = std::array<unsigned, 5>;

  void Refresh(PlannedCaller& aCaller, unsigned aTries);
  void Begin(PlannedCaller& aCaller);
  void Send(PlannedCaller& aCaller, std::shared_ptr<PlannedRequest> const& aRequest, Gateway::Reuse aReuse);
  void OnEnd(PlannedCaller& aCaller, std::shared_ptr<PlannedRequest> const& aRequest, Gateway::CallEnd aEnd);
  std::string const& ChooseAddress(PlannedCaller const& aCaller);
  PlannedOutcome OutcomeOf(PlannedAttempt const& aAttempt) const;
  unsigned EndpointsReached(std::string const& aId) const;
  bool IsExempt(PlannedAttempt const& aAttempt) const;
  std::optional<std::string> ViolationOf(PlannedKind aKind, PlannedAttempt const& aAttempt, unsigned aRuns) const;

  SoakWorld& world;
  std::mt19937 random;
  std::vector<PlannedCaller> callers;
  std::map<std::string, unsigned> frontOf;
  std::vector<std::shared_ptr<PlannedRequest>> requests;
};

}
