#include "RolloutFleet.h"
#include <algorithm>
#include <numeric>

namespace Hornbeam::Testing {

static constexpr Duration kTick = 20ms;
static constexpr Duration kStoreDelay = 100ms;
static constexpr Duration kFirstByteTime = 40ms;
static constexpr unsigned kEndpointsPerDataCenter = 3;
static constexpr unsigned kDataCenters = 3;

RolloutFleet::RolloutFleet(std::size_t aFronts, Duration aDuration, unsigned aSeed)
  : random(aSeed)
{
  this->order = { "service", "v2", aDuration, 1, std::nullopt };
  for (std::size_t index = 0; index < aFronts; ++index) {
    Front front;
    front.name = "front-" + std::to_string(index);
    front.report.target = "v2";
    front.report.incarnation = 1;
    front.learnt = this->now + this->Delay();
    front.nextReport = front.learnt + FromSeconds(Seconds(ReportInterval(aFronts)) * this->Draw());
    this->fronts.push_back(std::move(front));
  }
  this->owners.resize(2);
  this->ownerOf = [](std::size_t, double) { return 0; };
  this->behavior = [](SimulatedCall&) {};
  this->storeIsUp = [](double) { return true; };
}

void
RolloutFleet::RunTo(double aPart)
{
  while (this->Progress() < aPart)
    this->Tick();
}

void
RolloutFleet::Restart(std::size_t aFront)
{
  auto& front = this->fronts[aFront];
  auto const incarnation = front.report.incarnation + 1;
  front.report = {};
  front.report.target = "v2";
  front.report.incarnation = incarnation;
  front.exposure = {};
  front.lease = {};
  front.elsewhere.clear();
  front.learnt = this->now;
}

bool
RolloutFleet::IsWithinExposure() const
{
  return double(this->toTarget) <= this->rules.exposureShare * double(this->requests) + this->rules.exposureSlack;
}

void
RolloutFleet::Tick()
{
  this->now += kTick;
  while (!this->messages.empty() && this->messages.begin()->first <= this->now) {
    auto const action = std::move(this->messages.begin()->second);
    this->messages.erase(this->messages.begin());
    action();
  }
  for (std::size_t index = 0; index < this->fronts.size(); ++index) {
    auto& front = this->fronts[index];
    if (front.learnt > this->now)
      continue;
    while (!front.elsewhere.empty() && front.elsewhere.front() <= this->now)
      front.elsewhere.pop_front();
    this->RunRequests(front);
    if (front.nextReport > this->now)
      continue;
    front.nextReport = this->now + ReportInterval(this->fronts.size());
    front.report.age = this->now - front.learnt;
    front.report.inProgressElsewhere = front.elsewhere.size();
    if (auto const owner = this->ownerOf(index, this->Progress())) {
      Message const message{ index, *owner, this->now, front.report };
      this->messages.emplace(this->now + this->Delay(), [this, message] { this->Deliver(message); });
    }
  }
}

void
RolloutFleet::RunRequests(Front& aFront)
{
  std::poisson_distribution<unsigned> arrivals(this->rate * Seconds(kTick) / double(this->fronts.size()));
  for (auto left = arrivals(this->random); left > 0; --left) {
    SimulatedCall call;
    call.route = this->Draw() < 0.5 ? "chat" : "search";
    auto const dataCenter = std::to_string(unsigned(this->Draw() * kDataCenters));
    call.dataCenter = "dc-" + dataCenter;
    call.endpoint = dataCenter + "-" + std::to_string(unsigned(this->Draw() * kEndpointsPerDataCenter));
    call.progress = this->Progress();
    auto seenOrder = this->order;
    seenOrder.recorded = aFront.seen;
    auto const choice =
      VersionChoiceFor(this->rules, seenOrder, aFront.lease, aFront.exposure, this->Draw(), this->now);
    using enum VersionRestriction;
    call.atTarget =
      this->targetHasEndpoints && (choice.restriction == PreferTarget || choice.restriction == OnlyTarget);
    this->Run(aFront, std::move(call));
  }
}

void
RolloutFleet::Run(Front& aFront, SimulatedCall aCall)
{
  this->behavior(aCall);
  ++aFront.exposure.requests;
  this->requests += this->Progress() <= 1 ? 1 : 0;
  bool const failed = this->Draw() < aCall.failureShare;
  auto const outcome = failed ? ResponseOutcome::Failed : ResponseOutcome::Succeeded;
  auto const time = FromSeconds(Seconds(kFirstByteTime) * aCall.slowdown * (0.5 + this->Draw()));
  auto const share = aFront.lease.until > this->now ? unsigned(aFront.lease.share * 1000) : 0;
  auto& counts = aFront.report.counts[{ aCall.route, aCall.dataCenter, share }];
  AddResponse(aCall.atTarget ? counts.target : counts.other, outcome, time);
  if (!aCall.atTarget) {
    aFront.elsewhere.push_back(this->now + this->requestTime);
    this->toOtherAfterEnd += aFront.seen == RolloutState::Completed ? 1 : 0;
    return;
  }
  ++aFront.exposure.toTarget;
  ++this->toTarget;
  this->lastToTarget = this->now;
  if (!failed && aCall.slowdown < 4)
    return;
  ++aFront.report.badByEndpoint[aCall.endpoint];
  if (aFront.report.badByEndpoint.size() > kMaxCountedEndpoints)
    aFront.report.badByEndpoint.erase(
      std::ranges::min_element(aFront.report.badByEndpoint, {}, [](auto const& aEntry) { return aEntry.second; }));
  if (++this->bad == 50)
    this->fiftiethBad = this->now;
}

void
RolloutFleet::Deliver(Message const& aMessage)
{
  auto& owner = this->owners[aMessage.owner];
  TakeReport(owner, this->order, this->fronts[aMessage.front].name, aMessage.report, this->now);
  RolloutView view;
  for (auto const& front : this->fronts)
    view.fronts.insert(front.name);
  view.storeIsCurrent = this->storeIsUp(this->Progress());
  view.targetEndpoints = this->targetHasEndpoints ? kDataCenters * kEndpointsPerDataCenter : 0;
  auto const decision = DecideRollout(this->rules, this->order, owner, view, this->now);
  this->largestShare = std::max(this->largestShare, decision.share);
  if (decision.state != RolloutState::Serving && view.storeIsCurrent && !this->order.recorded) {
    // The write is conditional, so the first final state stays.
    this->order.recorded = decision.state;
    this->endedAt = this->Progress();
    this->reason = decision.reason;
    this->outstandingAtEnd = std::transform_reduce(
      this->fronts.begin(), this->fronts.end(), std::size_t(0), std::plus(), [](auto const& aFront) {
        return aFront.elsewhere.size();
      });
    this->messages.emplace(this->now + kStoreDelay, [this, state = decision.state] {
      for (auto& front : this->fronts)
        front.seen = state;
    });
  }
  this->messages.emplace(this->now + this->Delay(), [this, aMessage, share = decision.share] {
    auto& front = this->fronts[aMessage.front];
    if (front.report.incarnation == aMessage.report.incarnation)
      front.lease = { share, aMessage.sent + kShareLeaseTime };
  });
}

}
