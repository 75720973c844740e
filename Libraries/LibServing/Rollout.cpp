#include "Rollout.h"
#include <algorithm>
#include <vector>

namespace Hornbeam::Gateway {

static constexpr Duration kMinReportInterval = 400ms;
static constexpr Duration kReportIntervalPerFront = 5ms;
/// An order for a new version arrives by then.
static constexpr Duration kOrderDelay = 1500ms;
/// Fronts of a fleet, and those that were replaced during an order.
static constexpr std::size_t kMaxReporters = 2048;
static constexpr std::size_t kMaxTargetEndpoints = 1024;
static constexpr std::size_t kMaxNameBytes = 256;
/// The last slices are those that are compared by themselves: the evidence of at least two report intervals of the
/// largest fleet, yet recent enough to show a version that turns bad.
static constexpr Duration kSliceTime = 1s;
static constexpr std::size_t kRecentSlices = 5;

std::string_view
ToString(RolloutState aState)
{
  switch (aState) {
    case RolloutState::Serving:
      return "serving";
    case RolloutState::Completed:
      return "completed";
    case RolloutState::RolledBack:
      return "rolled_back";
  }
  VerifyNotReached();
}

Duration
ReportInterval(std::size_t aFronts)
{
  return std::max(kMinReportInterval, kReportIntervalPerFront * std::int64_t(aFronts));
}

VersionChoice
VersionChoiceFor(RolloutRules const& aRules,
                 RolloutOrder const& aOrder,
                 ShareLease const& aLease,
                 FrontExposure const& aExposure,
                 double aDraw,
                 MonotonicTime aNow)
{
  auto const choice = [&](VersionRestriction aRestriction) { return VersionChoice{ aRestriction, aOrder.target }; };
  if (aOrder.recorded == RolloutState::Completed)
    return choice(VersionRestriction::OnlyTarget);
  if (aOrder.recorded == RolloutState::RolledBack || aLease.until <= aNow || aLease.share <= 0)
    return choice(VersionRestriction::ExcludeTarget);
  if (aDraw < aLease.share)
    return choice(VersionRestriction::PreferTarget);
  // Requests that no other version can take must not add to the exposure beyond its bound.
  double const bound = std::max(aRules.exposureShare, aLease.share) * double(aExposure.requests);
  bool const mayFallBack = double(aExposure.toTarget) + 1 <= bound;
  return choice(mayFallBack ? VersionRestriction::AvoidTarget : VersionRestriction::ExcludeTarget);
}

VersionChoice
VersionChoiceForStream(RolloutOrder const& aOrder,
                       ShareLease const& aLease,
                       std::string const& aVersion,
                       MonotonicTime aNow)
{
  using enum VersionRestriction;
  if (aOrder.recorded == RolloutState::Completed)
    return { OnlyTarget, aOrder.target };
  bool const mayUseTarget = aOrder.recorded != RolloutState::RolledBack && aLease.until > aNow && aLease.share > 0;
  return { aVersion != aOrder.target || mayUseTarget ? None : ExcludeTarget, aOrder.target };
}

void
NoteArrivals(VersionArrivals& aArrivals, EndpointSet const& aEndpoints, MonotonicTime aNow)
{
  std::map<std::string, std::set<std::string>> present;
  for (auto const& [id, endpoint] : aEndpoints.byId)
    present[endpoint.entry.service].insert(endpoint.entry.softwareVersion);
  std::erase_if(aArrivals.byService, [&](auto const& aEntry) { return !present.contains(aEntry.first); });
  for (auto const& entry : present) {
    auto const& versions = entry.second;
    auto& known = aArrivals.byService[entry.first];
    std::erase_if(known, [&](auto const& aEntry) { return !versions.contains(aEntry.first); });
    bool const joins = !known.empty();
    for (auto const& version : versions)
      known.try_emplace(version, joins ? std::optional(aNow) : std::nullopt);
  }
}

std::optional<std::string>
HeldBackVersion(VersionArrivals const& aArrivals, std::string const& aService, MonotonicTime aNow)
{
  auto const found = aArrivals.byService.find(aService);
  if (found == aArrivals.byService.end() || found->second.size() < 2)
    return std::nullopt;
  for (auto const& [version, joined] : found->second)
    if (joined && aNow - *joined < kOrderDelay)
      return version;
  return std::nullopt;
}

static bool
IsAcceptable(RolloutOrder const& aOrder, VersionReport const& aReport)
{
  auto const isShort = [](std::string const& aName) { return aName.size() <= kMaxNameBytes; };
  return aReport.target == aOrder.target && aReport.age >= Duration::zero() && aReport.counts.size() <= kMaxStrata &&
         aReport.badByEndpoint.size() <= kMaxCountedEndpoints &&
         std::ranges::all_of(aReport.counts, [&](auto const& aEntry) {
           return isShort(aEntry.first.route) && isShort(aEntry.first.dataCenter);
         });
}

static void
AddToSlice(RolloutOwner& aOwner, CountsByStratum const& aLater, CountsByStratum const& aEarlier, MonotonicTime aNow)
{
  if (aOwner.slices.empty() || aNow - aOwner.slices.back().began >= kSliceTime)
    aOwner.slices.push_back({ aNow, {} });
  AddDifference(aOwner.slices.back().counts, aLater, aEarlier);
  while (aOwner.slices.size() > kRecentSlices)
    aOwner.slices.pop_front();
}

static void
AddBadByEndpoint(RolloutOwner& aOwner, VersionReport const& aLater, VersionReport const& aEarlier)
{
  for (auto const& [endpoint, bad] : aLater.badByEndpoint) {
    auto const found = aEarlier.badByEndpoint.find(endpoint);
    auto const former = found == aEarlier.badByEndpoint.end() ? 0 : found->second;
    bool const fits = aOwner.badByEndpoint.contains(endpoint) || aOwner.badByEndpoint.size() < kMaxTargetEndpoints;
    if (bad > former && fits && endpoint.size() <= kMaxNameBytes)
      aOwner.badByEndpoint[endpoint] += bad - former;
  }
}

bool
TakeReport(RolloutOwner& aOwner,
           RolloutOrder const& aOrder,
           std::string const& aFront,
           VersionReport const& aReport,
           MonotonicTime aNow)
{
  if (!IsAcceptable(aOrder, aReport))
    return false;
  auto const known = aOwner.reporters.find(aFront);
  bool const isKnown = known != aOwner.reporters.end();
  if (!isKnown && aOwner.reporters.size() >= kMaxReporters)
    return false;
  bool const sameProcess = isKnown && known->second.report.incarnation == aReport.incarnation;
  if (sameProcess && !IsAtLeast(aReport.counts, known->second.report.counts))
    return false;
  static VersionReport const nothing;
  auto const& former = sameProcess ? known->second.report : nothing;
  AddDifference(aOwner.sums, aReport.counts, former.counts);
  AddToSlice(aOwner, aReport.counts, former.counts, aNow);
  AddBadByEndpoint(aOwner, aReport, former);
  auto& reporter = aOwner.reporters[aFront];
  auto const learnt = aNow - aReport.age;
  // A front that was started anew learnt later of the order than the process before it.
  reporter.learnt = isKnown ? std::min(reporter.learnt, learnt) : learnt;
  reporter.report = aReport;
  reporter.received = aNow;
  return true;
}

Duration
ElapsedTime(RolloutOwner const& aOwner, MonotonicTime aNow)
{
  std::vector<MonotonicTime> learnt;
  for (auto const& [front, reporter] : aOwner.reporters)
    learnt.push_back(reporter.learnt);
  if (learnt.empty())
    return Duration::zero();
  // A single odd front must not end an order for the whole fleet, so the second one of several counts.
  auto const position = learnt.size() >= 3 ? learnt.begin() + 1 : learnt.begin();
  std::ranges::nth_element(learnt, position);
  return aNow - *position;
}

}
