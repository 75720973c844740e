#include "Rollout.h"
#include <algorithm>
#include <array>
#include <cmath>

namespace Hornbeam::Gateway {

// The time plan, as fractions of the order's duration. A version may turn bad later, so the share stays low for nearly
// half of the time; 0.08 are left for writing the final state.
static constexpr double kFirstStepAt = 0.45;
static constexpr double kCompleteAt = 0.92;
/// A step takes at most this part of the time: three steps and the wait for requests at other versions fit in between.
static constexpr double kMaxStepTime = 0.1175;
/// Without responses of other versions, the first requests go to the target after this part of the time.
static constexpr double kStartWithoutEvidenceAt = 0.1;
/// Shares of the steps, and when each is taken at the latest if there is too little evidence.
struct Step
{
  double share;
  double latest;
};
static constexpr std::array kSteps{ Step{ 0.25, 0.5 }, Step{ 0.5, 0.6 }, Step{ 1, 0.7 } };
/// A step that is late is held for this part (1/n) of the time.
static constexpr int kLateStepDivisor = 4;
/// Responses of the target that make a step.
static constexpr std::uint64_t kStepEvidence = 20;

/// Bad responses beyond the expected ones, in standard deviations, at which a version is bad. The comparison is
/// repeated with each report, so the bound is far above that of a single one.
static constexpr double kBadDeviations = 4.5;
static constexpr double kBadExcess = 5;
/// At which no step is taken.
static constexpr double kDoubtDeviations = 3;
static constexpr double kDoubtExcess = 3;
/// The same where the target is compared with the other version's past: what troubles both cannot be told then, so the
/// target must also fail in this part of its responses.
static constexpr double kPastBadDeviations = 5;
static constexpr double kPastBadExcess = 10;
static constexpr double kPastBadShare = 0.05;
static constexpr unsigned kWholeShare = 1000;

/// An endpoint that has this part of the bad responses of the target is in trouble by itself.
static constexpr double kSingleEndpointPart = 0.5;

static bool
Exceeds(VersionDifference const& aDifference, double aWorstEndpoint, double aDeviations, double aExcess)
{
  // Failures at one endpoint among several say nothing of the version.
  double const excess = aDifference.excess - aWorstEndpoint;
  return excess >= aExcess && excess >= aDeviations * std::sqrt(aDifference.variance);
}

namespace {

struct Evidence
{
  VersionDifference cumulative;
  VersionDifference recent;
  /// The target in the last slices against all responses of other versions, which have none any more.
  std::optional<VersionDifference> past;
  /// Bad responses of the endpoint that has most of them, if the target has several endpoints.
  double worstEndpoint{ 0 };
};

}

static Evidence
GatherEvidence(RolloutOwner const& aOwner, RolloutView const& aView)
{
  Evidence evidence;
  CountsByStratum recent;
  for (auto const& slice : aOwner.slices)
    AddDifference(recent, slice.counts, {});
  evidence.cumulative = CompareVersions(aOwner.sums, aOwner.sums);
  evidence.recent = CompareVersions(recent, recent);
  if (aOwner.share >= 1)
    evidence.past = CompareVersions(SumOverShares(recent, kWholeShare), SumOverShares(aOwner.sums, 0));
  double all = 0;
  double worst = 0;
  for (auto const& [endpoint, bad] : aOwner.badByEndpoint) {
    all += double(bad);
    worst = std::max(worst, double(bad));
  }
  // Of a version that is bad everywhere, one endpoint among several has a smaller part.
  if (aView.targetEndpoints > 1 && worst >= kSingleEndpointPart * all)
    evidence.worstEndpoint = worst;
  return evidence;
}

static bool
IsBad(Evidence const& aEvidence)
{
  if (Exceeds(aEvidence.cumulative, aEvidence.worstEndpoint, kBadDeviations, kBadExcess) ||
      Exceeds(aEvidence.recent, aEvidence.worstEndpoint, kBadDeviations, kBadExcess))
    return true;
  auto const& past = aEvidence.past;
  return past && Exceeds(*past, aEvidence.worstEndpoint, kPastBadDeviations, kPastBadExcess) &&
         double(past->targetBad) >= kPastBadShare * double(past->targetResponses);
}

static bool
IsInDoubt(Evidence const& aEvidence)
{
  return Exceeds(aEvidence.cumulative, aEvidence.worstEndpoint, kDoubtDeviations, kDoubtExcess) ||
         Exceeds(aEvidence.recent, aEvidence.worstEndpoint, kDoubtDeviations, kDoubtExcess);
}

static std::uint64_t
TargetResponses(RolloutOwner const& aOwner)
{
  std::uint64_t responses = 0;
  for (auto const& [stratum, counts] : aOwner.sums)
    responses += counts.target.responses;
  return responses;
}

static bool
HasOtherResponses(RolloutOwner const& aOwner)
{
  return std::ranges::any_of(aOwner.sums, [](auto const& aEntry) { return aEntry.second.other.responses > 0; });
}

static Duration
StepTime(RolloutOrder const& aOrder, RolloutView const& aView)
{
  auto const full = ReportInterval(aView.fronts.size()) + kShareLeaseTime;
  return std::min(full, FromSeconds(Seconds(aOrder.duration) * kMaxStepTime));
}

/// Returns the next share, if it is time for it.
static double
NextShare(RolloutRules const& aRules,
          RolloutOrder const& aOrder,
          RolloutOwner const& aOwner,
          RolloutView const& aView,
          double aProgress,
          MonotonicTime aNow)
{
  double const first = aRules.exposureShare / 2;
  if (aOwner.share < first)
    return HasOtherResponses(aOwner) || aProgress >= kStartWithoutEvidenceAt ? first : aOwner.share;
  auto const held = aNow - aOwner.shareSince;
  auto const stepTime = StepTime(aOrder, aView);
  bool const hasEvidence = TargetResponses(aOwner) >= aOwner.targetResponsesAtStep + kStepEvidence;
  for (auto const& step : kSteps) {
    if (step.share <= aOwner.share)
      continue;
    // One step after the other, also if they are late: a new owner begins with the first share.
    bool const due =
      aProgress >= step.latest ? held >= stepTime / kLateStepDivisor : aProgress >= kFirstStepAt && hasEvidence;
    return due && (held >= stepTime || aProgress >= step.latest) ? step.share : aOwner.share;
  }
  return aOwner.share;
}

/// Whether every front that is known has reported since all of its requests go to the target, and none is in progress
/// elsewhere. Fronts that left have no requests.
static bool
IsDoneElsewhere(RolloutOwner const& aOwner, RolloutView const& aView, Duration aHeld)
{
  return std::ranges::all_of(aView.fronts, [&](auto const& aFront) {
    auto const found = aOwner.reporters.find(aFront);
    return found != aOwner.reporters.end() && found->second.received >= aOwner.shareSince + aHeld &&
           found->second.report.inProgressElsewhere == 0;
  });
}

static void
SetShare(RolloutOwner& aOwner, double aShare, MonotonicTime aNow)
{
  if (aShare == aOwner.share)
    return;
  aOwner.share = aShare;
  aOwner.shareSince = aNow;
  aOwner.targetResponsesAtStep = TargetResponses(aOwner);
}

static RolloutDecision
EndWith(RolloutOwner& aOwner,
        RolloutDecision aDecision,
        RolloutState aState,
        std::string_view aReason,
        MonotonicTime aNow)
{
  aOwner.verdict = aState;
  aDecision.state = aState;
  aDecision.reason = aReason;
  aDecision.share = aState == RolloutState::Completed ? 1 : 0;
  SetShare(aOwner, aDecision.share, aNow);
  return aDecision;
}

RolloutDecision
DecideRollout(RolloutRules const& aRules,
              RolloutOrder const& aOrder,
              RolloutOwner& aOwner,
              RolloutView const& aView,
              MonotonicTime aNow)
{
  RolloutDecision decision;
  auto const evidence = GatherEvidence(aOwner, aView);
  decision.cumulative = evidence.cumulative;
  decision.recent = evidence.past.value_or(evidence.recent);
  decision.elapsed = ElapsedTime(aOwner, aNow);
  double const progress = Seconds(decision.elapsed) / Seconds(aOrder.duration);
  if (aOrder.recorded && aOrder.recorded != RolloutState::Serving)
    return EndWith(aOwner, decision, *aOrder.recorded, "recorded", aNow);
  if (aOwner.verdict)
    return EndWith(aOwner, decision, *aOwner.verdict, "decided", aNow);
  if (IsBad(evidence))
    return EndWith(aOwner, decision, RolloutState::RolledBack, "worse", aNow);
  bool const inDoubt = IsInDoubt(evidence);
  if (progress >= kCompleteAt && inDoubt)
    return EndWith(aOwner, decision, RolloutState::RolledBack, "in-doubt-at-deadline", aNow);
  if (aView.targetEndpoints == 0) {
    if (progress >= 1)
      return EndWith(aOwner, decision, RolloutState::RolledBack, "no-endpoints", aNow);
    decision.reason = "awaits-endpoints";
  } else if (!aView.storeIsCurrent) {
    decision.reason = "store-away";
  } else if (inDoubt) {
    decision.reason = "in-doubt";
  } else {
    SetShare(aOwner, NextShare(aRules, aOrder, aOwner, aView, progress, aNow), aNow);
    auto const held = StepTime(aOrder, aView);
    bool const allOn = aOwner.share >= 1;
    bool const mustEnd = progress >= kCompleteAt && aNow - aOwner.shareSince >= held / kLateStepDivisor;
    if (allOn && (mustEnd || IsDoneElsewhere(aOwner, aView, held)))
      return EndWith(aOwner, decision, RolloutState::Completed, "all-on-target", aNow);
    decision.reason = "plan";
  }
  decision.share = aOwner.share;
  return decision;
}

}
