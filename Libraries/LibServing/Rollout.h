#pragma once

#include "EndpointSet.h"
#include "StorePosition.h"
#include "VersionCounts.h"
#include <deque>
#include <optional>
#include <set>
#include <string_view>

namespace Hornbeam::Gateway {

/// The settings of rollouts.
struct RolloutRules
{
  /// The part of a service's requests that a bad version may get, from 0 to 1, and a number of requests besides.
  double exposureShare{ 0.1 };
  double exposureSlack{ 50 };
  /// The time from the 50th bad response to the last request that is sent to the version.
  Duration rollbackTime{ 5s };
};

enum class RolloutState
{
  Serving,
  Completed,
  RolledBack,
};

std::string_view
ToString(RolloutState aState);

/// An operator's order to shift a service's traffic to a software version. Another target is another order.
struct RolloutOrder
{
  std::string service;
  std::string target;
  /// From 1 s to 1 day.
  Duration duration{ 0 };
  /// Of the object, for conditional writes of its status.
  StorePosition revision{ 0 };
  /// The state of this target that the store has, or had before it was restored from a copy; nothing if it has none.
  std::optional<RolloutState> recorded;
  /// The name of the object.
  std::string name{};
  /// What the store has now.
  std::optional<RolloutState> recordedInStore{};
};

/// What a front counted since it learnt of an order; all counts are cumulative.
struct VersionReport
{
  std::string target;
  std::int64_t incarnation{ 0 };
  /// The time since the front learnt of the order.
  Duration age{ 0 };
  /// Requests of this front that are in progress at other versions than the target.
  std::uint64_t inProgressElsewhere{ 0 };
  CountsByStratum counts;
  /// The endpoints of the target with the most failures and slow responses.
  std::map<std::string, std::uint64_t> badByEndpoint;
};

/// A front's permission to send a part of its requests to the target.
struct ShareLease
{
  double share{ 0 };
  MonotonicTime until{};
};

inline constexpr Duration kShareLeaseTime = 2s;

/// Returns how often each front reports. The owner gets at most 200 reports a second, and more often than every 400 ms
/// is of no use.
Duration
ReportInterval(std::size_t aFronts);

/// Which software versions a request may use.
enum class VersionRestriction
{
  None,
  /// The target, or another version if no endpoint of the target can take the request.
  PreferTarget,
  /// Other versions, or the target if none of their endpoints can take the request.
  AvoidTarget,
  ExcludeTarget,
  OnlyTarget,
};

struct VersionChoice
{
  VersionRestriction restriction{ VersionRestriction::None };
  std::string target;
};

/// The requests of a front since it learnt of an order.
struct FrontExposure
{
  std::uint64_t requests{ 0 };
  /// Attempts sent to the target.
  std::uint64_t toTarget{ 0 };
};

/// Decides where one request may run. aDraw is uniform in [0, 1).
VersionChoice
VersionChoiceFor(RolloutRules const& aRules,
                 RolloutOrder const& aOrder,
                 ShareLease const& aLease,
                 FrontExposure const& aExposure,
                 double aDraw,
                 MonotonicTime aNow);

/// Decides where a request may go on whose stream began at a version.
VersionChoice
VersionChoiceForStream(RolloutOrder const& aOrder,
                       ShareLease const& aLease,
                       std::string const& aVersion,
                       MonotonicTime aNow);

/// When software versions joined services that had others.
struct VersionArrivals
{
  /// The versions of each service. Without a time, they were there before, or joined a service that had none.
  std::map<std::string, std::map<std::string, std::optional<MonotonicTime>>> byService;
};

/// Notes the versions of all endpoints.
void
NoteArrivals(VersionArrivals& aArrivals, EndpointSet const& aEndpoints, MonotonicTime aNow);

/// Returns a version that is not used yet, as an order for it may be on its way; nothing if there is none, or if no
/// other version has endpoints.
std::optional<std::string>
HeldBackVersion(VersionArrivals const& aArrivals, std::string const& aService, MonotonicTime aNow);

/// The state of an order at its owner.
struct RolloutOwner
{
  struct Reporter
  {
    VersionReport report;
    MonotonicTime received{};
    /// When the front learnt of the order, by the owner's clock.
    MonotonicTime learnt{};
  };
  struct Slice
  {
    MonotonicTime began{};
    CountsByStratum counts;
  };
  /// Fronts that left are kept: what they counted still holds.
  std::map<std::string, Reporter> reporters;
  /// The sums of all reports, and of those of former processes.
  CountsByStratum sums;
  /// Bad responses of each endpoint of the target.
  std::map<std::string, std::uint64_t> badByEndpoint;
  /// The sums of the last few seconds, oldest first.
  std::deque<Slice> slices;
  double share{ 0 };
  MonotonicTime shareSince{};
  /// Responses of the target when the share was raised.
  std::uint64_t targetResponsesAtStep{ 0 };
  /// Set once the version was found to be bad, or good; it is not changed any more.
  std::optional<RolloutState> verdict;
};

/// Takes a front's report. Returns false if it is ignored: it is of another order, has too many entries, or its counts
/// are below those of an earlier report of the same process.
bool
TakeReport(RolloutOwner& aOwner,
           RolloutOrder const& aOrder,
           std::string const& aFront,
           VersionReport const& aReport,
           MonotonicTime aNow);

/// What the owner knows besides the reports.
struct RolloutView
{
  /// The names of the fronts, for whether all have reported.
  std::set<std::string> fronts;
  /// Whether the state of the store is current; if not, no share is raised.
  bool storeIsCurrent{ true };
  std::size_t targetEndpoints{ 0 };
};

struct RolloutDecision
{
  double share{ 0 };
  RolloutState state{ RolloutState::Serving };
  std::string_view reason;
  /// What decided, for the log.
  VersionDifference cumulative;
  VersionDifference recent;
  Duration elapsed{ 0 };
};

/// Decides the share that an owner grants from now on, and whether the order has ended. Updates the owner's step.
RolloutDecision
DecideRollout(RolloutRules const& aRules,
              RolloutOrder const& aOrder,
              RolloutOwner& aOwner,
              RolloutView const& aView,
              MonotonicTime aNow);

/// Returns the time since the order was given, as far as the reports tell.
Duration
ElapsedTime(RolloutOwner const& aOwner, MonotonicTime aNow);

}
