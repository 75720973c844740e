#include "EndpointLoad.h"
#include <algorithm>
#include <cmath>

namespace Hornbeam::Gateway {

namespace {

constexpr MonotonicTime kBegin{ 1h };
constexpr MonotonicTime kCounted{ kBegin + 20s };
constexpr MonotonicTime kChange{ kCounted + 8s };
constexpr MonotonicTime kChangeEnd{ kChange + 5s };
constexpr MonotonicTime kEnd{ kCounted + 20s };
constexpr Duration kReadLasts{ 9s };
/// With these, endpoints are used by about a half under the mean load.
constexpr double kPromptTokensPerSecond = 50000;
constexpr double kSecondsPerOutputToken = 0.02;
constexpr double kCachedPromptCost = 0.2;
constexpr unsigned kDataCenters = 3;

struct Endpoint
{
  EndpointEntry entry;
  unsigned active{ 0 };
  MonotonicTime promptsReadUntil{};
  std::map<std::string, MonotonicTime> lastRead;
  double load{ 0 };
  double loadSeconds{ 0 };
  MonotonicTime loadSince{};
  bool gone{ false };
};

struct Front
{
  EndpointSet endpoints;
  LoadExchange exchange;
  std::optional<FleetLoads> loads;
  /// Increases with each restart; what was begun before is not counted any more.
  unsigned start{ 0 };
};

class Simulation
{
public:
  Simulation(LoadShape const& aShape, LoadPolicy aPolicy, LoadPattern aPattern, unsigned aSeed)
    : shape(aShape)
    , policy(aPolicy)
    , pattern(aPattern)
    , random(aSeed)
    , endpoints(aShape.endpoints)
    , fronts(aShape.fronts)
  {
    auto& rule = this->table.services[this->service];
    rule.maxConnections = 1'000'000;
    rule.hasModelEndpoints = true;
    for (unsigned index = 0; index < aShape.endpoints; ++index) {
      auto& entry = this->endpoints[index].entry;
      entry.id = std::to_string(index);
      entry.service = this->service;
      entry.address = "10.0.0.1:" + std::to_string(index);
      entry.incarnation = aSeed;
    }
    for (unsigned index = 0; index < aShape.fronts; ++index) {
      auto const name = std::to_string(index);
      ApplyFront(this->known, { name, "c", name, "dc" + std::to_string(index % kDataCenters), 1, 1 }, 1);
    }
    for (auto const& kind : aShape.kinds) {
      std::vector<double> popularity;
      for (unsigned part = 1; part <= kind.parts; ++part)
        popularity.push_back(std::pow(part, -0.3));
      this->parts.emplace_back(popularity.begin(), popularity.end());
    }
  }

  LoadFigures Run()
  {
    for (unsigned index = 0; index < this->fronts.size(); ++index)
      this->StartFront(index);
    for (unsigned kind = 0; kind < this->shape.kinds.size(); ++kind)
      this->At(kBegin, [this, kind] { this->Arrive(kind); });
    if (this->pattern == LoadPattern::LostThird)
      this->At(kChange, [this] { this->LoseThird(); });
    if (this->pattern == LoadPattern::NewFronts)
      this->At(kChange, [this] {
        for (unsigned index = 0; index < this->fronts.size(); ++index)
          this->StartFront(index);
      });
    while (this->events.begin()->first < kEnd) {
      auto const event = this->events.extract(this->events.begin());
      this->now = event.key();
      event.mapped()();
    }
    return this->Figures();
  }

private:
  void At(MonotonicTime aTime, std::function<void()> aAction) { this->events.emplace(aTime, std::move(aAction)); }
  double Uniform() { return std::uniform_real_distribution<double>()(this->random); }
  bool HasPattern(LoadPattern aPattern) const { return this->pattern == aPattern && this->now >= kChange; }

  void StartFront(unsigned aIndex)
  {
    auto& front = this->fronts[aIndex];
    auto const start = front.start + 1;
    front = {};
    front.start = start;
    front.exchange.front = std::to_string(aIndex);
    front.exchange.dataCenter = "dc" + std::to_string(aIndex % kDataCenters);
    front.exchange.incarnation = start;
    for (auto const& endpoint : this->endpoints)
      ApplyEntry(front.endpoints, endpoint.entry, 0s, kBegin);
    if (this->policy == LoadPolicy::Exchange)
      this->At(this->now + FromSeconds(this->Uniform()), [this, aIndex, start] { this->Report(aIndex, start); });
  }

  void LoseThird()
  {
    for (unsigned index = 0; index < this->endpoints.size(); index += 3) {
      this->Account(this->endpoints[index], -this->endpoints[index].load);
      this->endpoints[index].gone = true;
      for (auto& front : this->fronts)
        RemoveEndpoint(front.endpoints, this->endpoints[index].entry.id);
    }
  }

  /// Delays of messages between fronts, from 5 to 500 ms.
  Duration Delay() { return FromSeconds(0.005 * std::pow(100, this->Uniform())); }

  void Report(unsigned aIndex, unsigned aStart)
  {
    auto& front = this->fronts[aIndex];
    if (front.start != aStart)
      return;
    auto const role = FindLoadRole(this->known, front.exchange.front, {}, this->endpoints.size(), this->now);
    front.exchange.interval = role->interval;
    SetLoadLevel(front.exchange, role->level);
    if (!role->parent)
      this->Refresh(front);
    auto targets = role->peers;
    if (role->parent)
      targets.push_back(*role->parent);
    bool const lost = this->HasPattern(LoadPattern::NoCollectors);
    for (auto const& target : targets)
      if (!lost)
        this->At(this->now + this->Delay(),
                 [this, aIndex, target, report = this->OnWire(MakeReport(front.exchange, this->now))] {
                   this->Deliver(aIndex, unsigned(std::stoul(target.name)), report);
                 });
    this->At(this->now + role->interval, [this, aIndex, aStart] { this->Report(aIndex, aStart); });
  }

  static LoadReport OnWire(LoadReport aReport)
  {
    aReport.sum.byEndpoint = DecodeLoads(EncodeLoads(aReport.sum.byEndpoint)).value();
    return aReport;
  }

  void Deliver(unsigned aFrom, unsigned aTo, LoadReport const& aReport)
  {
    auto& exchange = this->fronts[aTo].exchange;
    if (TakeReport(exchange, aReport, this->now) != ReportVerdict::Accepted)
      return;
    auto reply = OnWire({ exchange.front,
                          exchange.dataCenter,
                          exchange.incarnation,
                          ++exchange.number,
                          exchange.level,
                          MakeReply(exchange, aReport, this->now) });
    this->At(this->now + this->Delay(), [this, aFrom, reply] {
      auto& receiver = this->fronts[aFrom].exchange;
      if (reply.dataCenter != receiver.dataCenter)
        TakeReport(receiver, reply, this->now);
      else
        TakeReply(receiver, reply.sum, this->now);
      if (receiver.level > 0)
        this->Refresh(this->fronts[aFrom]);
    });
  }

  void Refresh(Front& aFront)
  {
    aFront.loads = MakeFleetLoads(aFront.exchange, aFront.loads, this->fronts.size(), this->now);
  }

  void Arrive(unsigned aKind)
  {
    auto const& kind = this->shape.kinds[aKind];
    double const burst = this->HasPattern(LoadPattern::LostThird) && this->now < kChangeEnd ? 1.4 : 1;
    this->At(this->now + FromSeconds(-std::log(1 - this->Uniform()) / (kind.perSecond * burst)),
             [this, aKind] { this->Arrive(aKind); });
    bool const hot = this->HasPattern(LoadPattern::HotPart) && this->Uniform() < 0.28;
    auto const part = hot ? "hot" : std::to_string(aKind) + "-" + std::to_string(this->parts[aKind](this->random));
    auto const index = unsigned(this->random() % this->fronts.size());
    auto& front = this->fronts[index];
    if (this->policy == LoadPolicy::AllKnowing)
      front.loads = FleetLoads{ this->trueLoad, nullptr, Duration(0), 0, kEnd };
    SelectionView const view{ front.endpoints, this->known,
                              this->table,     {},
                              nullptr,         front.loads ? &*front.loads : nullptr };
    EndpointQuery const query{ this->service, part, {}, front.exchange.front, "dc0", {}, this->random() };
    this->Send(index, unsigned(std::stoul(ChooseEndpoint(view, query, this->now).value())), part, kind.tokens);
  }

  void Send(unsigned aFront, unsigned aEndpoint, std::string const& aPart, TokenUsage const& aTokens)
  {
    auto& front = this->fronts[aFront];
    auto& endpoint = this->endpoints[aEndpoint];
    auto const load = LoadOf(aTokens);
    OnRequestSent(front.endpoints, endpoint.entry.id, this->fronts.size(), this->now);
    AddOwnLoad(front.exchange, ProcessOf(endpoint.entry), load);
    this->Account(endpoint, load);
    auto const done = [this, aFront, aEndpoint, load, start = front.start] {
      auto& sender = this->fronts[aFront];
      auto& server = this->endpoints[aEndpoint];
      --server.active;
      if (!server.gone)
        this->Account(server, -load);
      if (sender.start == start) {
        OnRequestEnded(sender.endpoints, server.entry.id);
        RemoveOwnLoad(sender.exchange, ProcessOf(server.entry), load);
      }
    };
    this->Serve(endpoint, aPart, aTokens, done);
  }

  void Serve(Endpoint& aEndpoint, std::string const& aPart, TokenUsage const& aTokens, std::function<void()> aDone)
  {
    ++aEndpoint.active;
    bool const slow =
      this->HasPattern(LoadPattern::SlowThird) && this->now < kChangeEnd && std::stoul(aEndpoint.entry.id) % 3 == 0;
    double const factor = slow ? 4 : 1;
    auto const isFresh = [&](auto const& aTimes) {
      auto const found = aTimes.find(aPart);
      return found != aTimes.end() && this->now - found->second < kReadLasts;
    };
    bool const cached = isFresh(aEndpoint.lastRead);
    auto const begin = std::max(this->now, aEndpoint.promptsReadUntil);
    if (this->now >= kCounted) {
      ++this->requests;
      this->readAgain += !cached && isFresh(this->lastRead) ? 1 : 0;
      this->waits.push_back(Seconds(begin - this->now));
    }
    aEndpoint.lastRead[aPart] = this->lastRead[aPart] = this->now;
    double const slowness = factor * (1 + 2 * std::min(1.0, double(aEndpoint.active) / this->shape.slots));
    aEndpoint.promptsReadUntil =
      begin + FromSeconds(aTokens.prompt * (cached ? kCachedPromptCost : 1) * slowness / kPromptTokensPerSecond);
    this->At(aEndpoint.promptsReadUntil + FromSeconds(aTokens.output * kSecondsPerOutputToken * slowness),
             std::move(aDone));
  }

  void Account(Endpoint& aEndpoint, double aChange)
  {
    auto const since = std::max(aEndpoint.loadSince, kCounted);
    aEndpoint.loadSeconds += this->now > since ? aEndpoint.load * Seconds(this->now - since) : 0;
    aEndpoint.loadSince = this->now;
    aEndpoint.load += aChange;
    this->trueLoad[LoadNameOf(ProcessOf(aEndpoint.entry))] = aEndpoint.load;
  }

  LoadFigures Figures()
  {
    this->now = kEnd;
    double busiest = 0;
    double total = 0;
    unsigned remaining = 0;
    for (auto& endpoint : this->endpoints) {
      this->Account(endpoint, 0);
      if (endpoint.gone)
        continue;
      ++remaining;
      busiest = std::max(busiest, endpoint.loadSeconds);
      total += endpoint.loadSeconds;
    }
    auto const rank = std::ptrdiff_t(double(this->waits.size()) * 0.99);
    std::ranges::nth_element(this->waits, this->waits.begin() + rank);
    return { busiest * remaining / total, this->waits[std::size_t(rank)], this->readAgain / this->requests };
  }

  LoadShape const& shape;
  LoadPolicy policy;
  LoadPattern pattern;
  std::mt19937 random;
  std::string service{ "model" };
  ServingTable table;
  FrontSet known;
  std::vector<Endpoint> endpoints;
  std::vector<Front> fronts;
  std::vector<std::discrete_distribution<unsigned>> parts;
  std::map<std::string, MonotonicTime> lastRead;
  LoadByEndpoint trueLoad;
  std::multimap<MonotonicTime, std::function<void()>> events;
  MonotonicTime now{ kBegin };
  std::vector<double> waits;
  double requests{ 0 };
  double readAgain{ 0 };
};

}

LoadFigures
SimulateEndpointLoad(LoadShape const& aShape, LoadPolicy aPolicy, LoadPattern aPattern, unsigned aSeed)
{
  return Simulation(aShape, aPolicy, aPattern, aSeed).Run();
}

}
