#include "FleetLoad.h"
#include <algorithm>
#include <bit>
#include <cmath>

namespace Hornbeam::Gateway {

static constexpr double kOutputTokenLoad = 10;
static constexpr double kMaxLoad = 1e12;
/// Bounds what one front can report of one endpoint: eight of the greatest requests.
static constexpr double kMaxFrontLoad = 8 * (1 + kOutputTokenLoad) * kMaxTokens;

/// A front is left out of a sum once it has missed two reports. Longer, the load of a front that changed its parent
/// would be counted twice.
static constexpr double kIntervalsPerReport = 2.5;

/// Time constant of the mean over which the load of others is taken. The load at one moment consists of a few requests
/// and has changed before it is known; choices that follow it make prompt parts go back and forth.
static constexpr double kSmoothingSeconds = 5;
/// Weight of the latest request in the mean load of a request.
static constexpr double kRequestLoadWeight = 0.02;
/// An increase by more than this factor counts at once, as a part that becomes popular overloads its endpoint within
/// seconds.
static constexpr double kJump = 2;

/// A call, its result and its end without entries, with names of 32 bytes in all: measured as 448 bytes, without
/// headers of TCP.
static constexpr double kCallBytes = 450;
static constexpr double kEntryBytes = 4;
/// A report of a single front names only the endpoints that serve its requests at the moment.
static constexpr double kOwnEntries = 16;
static constexpr Duration kMinInterval = 500ms;

/// Collectors have at least this fraction of the strongest front's cores, as the owners of FrontSet.
static constexpr double kMinCollectorCoreRatio = 0.5;

/// The ratio of two successive levels of an encoded load; 255 levels span a factor of 1,800.
static constexpr double kLevelRatio = 1.03;
static constexpr unsigned kLevels = 255;

LoadName
LoadNameOf(EndpointProcess const& aProcess)
{
  auto const hash = StableHash(aProcess.id + ' ' + aProcess.address + ' ' + std::to_string(aProcess.incarnation));
  return LoadName(hash >> 40);
}

double
LoadOf(std::optional<TokenUsage> const& aUsage)
{
  if (!aUsage)
    return 1;
  auto const bounded = [](double aTokens) { return std::clamp(aTokens, 0.0, kMaxTokens); };
  return std::max(1.0, bounded(aUsage->prompt) + kOutputTokenLoad * bounded(aUsage->output));
}

/// Adds what was received some time ago, unless it is too old by now.
static void
AddHeld(LoadSum& aTotal, LoadSum const& aPart, Duration aHeldFor)
{
  auto const fronts = aTotal.fronts + aPart.fronts;
  auto const age = aPart.age + aHeldFor;
  if (fronts == 0 || age > kMaxLoadAge)
    return;
  aTotal.age = (aTotal.age * aTotal.fronts + age * aPart.fronts) / fronts;
  aTotal.fronts = fronts;
  for (auto const& [name, load] : aPart.byEndpoint)
    aTotal.byEndpoint[name] += load;
}

std::string
EncodeLoads(LoadByEndpoint const& aLoads)
{
  std::vector<std::pair<double, LoadName>> entries;
  for (auto const& [name, load] : aLoads)
    if (load > 0)
      entries.emplace_back(std::min(load, kMaxLoad), name);
  std::ranges::sort(entries, std::greater());
  entries.resize(std::min(entries.size(), kMaxLoadEntries));
  std::string bytes;
  auto const append = [&](std::uint32_t aValue) {
    for (int shift = 0; shift < 32; shift += 8)
      bytes += char(aValue >> shift & 0xff);
  };
  // The unit is the greatest load, as a float; each load is a level below it.
  float const unit = entries.empty() ? 1 : float(entries.front().first);
  append(std::bit_cast<std::uint32_t>(unit));
  for (auto const& [load, name] : entries) {
    auto const below = std::lround(std::log(double(unit) / load) / std::log(kLevelRatio));
    append(name << 8 | std::uint32_t(kLevels - std::clamp(below, 0L, long(kLevels) - 1)));
  }
  return bytes;
}

std::optional<LoadByEndpoint>
DecodeLoads(std::string_view aBytes)
{
  if (aBytes.size() < 4 || aBytes.size() % 4 != 0 || aBytes.size() / 4 - 1 > kMaxLoadEntries)
    return std::nullopt;
  auto const read = [&](std::size_t aIndex) {
    std::uint32_t value = 0;
    for (std::size_t byte = 0; byte < 4; ++byte)
      value |= std::uint32_t(static_cast<unsigned char>(aBytes[4 * aIndex + byte])) << 8 * byte;
    return value;
  };
  double const unit = std::bit_cast<float>(read(0));
  if (!std::isfinite(unit) || unit <= 0 || unit > 2 * kMaxLoad)
    return std::nullopt;
  LoadByEndpoint loads;
  for (std::size_t index = 1; index < aBytes.size() / 4; ++index) {
    auto const entry = read(index);
    auto const level = entry & 0xff;
    if (level > 0)
      loads[entry >> 8] = unit * std::pow(kLevelRatio, double(level) - kLevels);
  }
  return loads;
}

double
BytesPerReport(std::size_t aEndpoints)
{
  return kCallBytes + kEntryBytes * (double(std::min(aEndpoints, kMaxLoadEntries)) + kOwnEntries);
}

double
BytesPerExchange(std::size_t aEndpoints)
{
  return kCallBytes + kEntryBytes * 2 * double(std::min(aEndpoints, kMaxLoadEntries));
}

LoadTree
PlanLoadTree(std::size_t aFronts, std::size_t aDataCenters, std::size_t aEndpoints)
{
  auto const report = BytesPerReport(aEndpoints);
  auto const exchange = BytesPerExchange(aEndpoints);
  LoadTree best;
  double least = 0;
  for (std::size_t groups = 0; groups < std::max<std::size_t>(1, aFronts); ++groups) {
    // A data centre without groups reports to its collector directly. The report of a group has an entry for each
    // endpoint.
    auto const members = groups == 0 ? 0.0 : std::ceil(double(aFronts - 1 - groups) / double(groups));
    auto const reported = groups == 0 ? double(aFronts - 1) * report : double(groups) * exchange;
    auto const collector = reported + double(std::max<std::size_t>(1, aDataCenters) - 1) * exchange;
    auto const group = groups == 0 ? 0 : members * report + exchange;
    auto const bytes = std::max(collector, group);
    if (groups > 0 && bytes >= least)
      continue;
    least = bytes;
    best.groups = groups;
  }
  best.interval = std::max<Duration>(kMinInterval, FromSeconds(least / kLoadBytesPerSecond));
  return best;
}

/// Returns the fronts of each data centre in the order in which they become collectors.
static std::map<std::string, std::vector<KnownFront const*>>
RankFronts(FrontSet const& aFronts,
           std::string const& aOwnName,
           std::set<std::string> const& aUnreachable,
           MonotonicTime aNow)
{
  std::map<std::string, std::vector<KnownFront const*>> ranked;
  for (auto const& [name, front] : aFronts.byName)
    if (name == aOwnName || (front.suspectUntil <= aNow && !aUnreachable.contains(name)))
      ranked[front.entry.dataCenter].push_back(&front);
  for (auto& [dataCenter, fronts] : ranked) {
    double strongest = 0;
    for (auto const* front : fronts)
      strongest = std::max(strongest, front->entry.cores);
    auto const key = "load " + dataCenter;
    std::ranges::sort(fronts, std::greater(), [&](auto const* aFront) {
      return std::pair(aFront->entry.cores >= kMinCollectorCoreRatio * strongest,
                       RendezvousWeight(key, aFront->entry.name));
    });
  }
  return ranked;
}

std::optional<LoadRole>
FindLoadRole(FrontSet const& aFronts,
             std::string const& aOwnName,
             std::set<std::string> const& aUnreachable,
             std::size_t aEndpoints,
             MonotonicTime aNow)
{
  auto const own = aFronts.byName.find(aOwnName);
  if (own == aFronts.byName.end())
    return std::nullopt;
  auto const ranked = RankFronts(aFronts, aOwnName, aUnreachable, aNow);
  auto const& dataCenter = own->second.entry.dataCenter;
  auto const& fronts = ranked.at(dataCenter);
  auto const tree = PlanLoadTree(fronts.size(), ranked.size(), aEndpoints);
  LoadRole role;
  role.interval = tree.interval;
  auto const rank = std::size_t(std::ranges::find(fronts, &own->second) - fronts.begin());
  if (rank == 0) {
    role.level = 0;
    // The call of the data centre with the lesser name carries the sums of both.
    for (auto const& [name, others] : ranked)
      if (dataCenter < name)
        role.peers.push_back(others.front()->entry);
    return role;
  }
  role.level = rank <= tree.groups ? 1 : 2;
  auto const parent = role.level == 1 || tree.groups == 0 ? 0 : 1 + (rank - 1) % tree.groups;
  role.parent = fronts[parent]->entry;
  return role;
}

void
AddOwnLoad(LoadExchange& aExchange, EndpointProcess const& aProcess, double aLoad)
{
  aExchange.own[LoadNameOf(aProcess)] += aLoad;
  bool const first = aExchange.requestLoad == 0;
  aExchange.requestLoad += (first ? 1 : kRequestLoadWeight) * (aLoad - aExchange.requestLoad);
}

void
RemoveOwnLoad(LoadExchange& aExchange, EndpointProcess const& aProcess, double aLoad)
{
  auto const found = aExchange.own.find(LoadNameOf(aProcess));
  if (found == aExchange.own.end())
    return;
  found->second -= aLoad;
  // Loads are at least 1 and whole numbers, which doubles add exactly.
  if (found->second < 1)
    aExchange.own.erase(found);
}

void
SetLoadLevel(LoadExchange& aExchange, unsigned aLevel)
{
  if (aExchange.level == aLevel)
    return;
  aExchange.level = aLevel;
  aExchange.outside.reset();
  aExchange.dataCenters.clear();
  std::erase_if(aExchange.children, [&](auto const& aEntry) { return aEntry.second.report.level <= aLevel; });
}

static void
AddChildren(LoadSum& aTotal, LoadExchange const& aExchange, std::string const& aExcept, MonotonicTime aNow)
{
  auto const longest = kIntervalsPerReport * aExchange.interval;
  for (auto const& [name, held] : aExchange.children)
    if (name != aExcept && aNow - held.received <= longest)
      AddHeld(aTotal, held.report.sum, aNow - held.received);
}

/// Returns the load of this front and of those that report to it, except one.
static LoadSum
SubtreeSum(LoadExchange const& aExchange, std::string const& aExcept, MonotonicTime aNow)
{
  LoadSum sum{ 1, Duration::zero(), aExchange.own };
  AddChildren(sum, aExchange, aExcept, aNow);
  return sum;
}

static void
AddOutside(LoadSum& aTotal, LoadExchange const& aExchange, MonotonicTime aNow)
{
  if (aExchange.outside)
    AddHeld(aTotal, *aExchange.outside, aNow - aExchange.outsideReceived);
  for (auto const& [dataCenter, held] : aExchange.dataCenters)
    AddHeld(aTotal, held.report.sum, aNow - held.received);
}

LoadReport
MakeReport(LoadExchange& aExchange, MonotonicTime aNow)
{
  std::erase_if(aExchange.children, [&](auto const& aEntry) { return aNow - aEntry.second.received > kMaxLoadAge; });
  return { aExchange.front,    aExchange.dataCenter, aExchange.incarnation,
           ++aExchange.number, aExchange.level,      SubtreeSum(aExchange, "", aNow) };
}

/// Returns whether a report is later than one that is held. A process whose wall clock went back starts anew once the
/// reports of the former one are too old.
static bool
IsLater(LoadReport const& aReport, LoadExchange::HeldReport const& aHeld, MonotonicTime aNow)
{
  if (aHeld.report.front != aReport.front || aNow - aHeld.received > kMaxLoadAge)
    return true;
  return std::pair(aReport.incarnation, aReport.number) > std::pair(aHeld.report.incarnation, aHeld.report.number);
}

ReportVerdict
TakeReport(LoadExchange& aExchange, LoadReport aReport, MonotonicTime aNow)
{
  bool const foreign = aReport.dataCenter != aExchange.dataCenter;
  if (foreign ? aReport.level != 0 || aExchange.level != 0 : aReport.level <= aExchange.level)
    return ReportVerdict::WrongLevel;
  aReport.sum.fronts = std::min(aReport.sum.fronts, kMaxLoadFronts);
  aReport.sum.age = std::clamp<Duration>(aReport.sum.age, Duration::zero(), 2 * kMaxLoadAge);
  for (auto& [name, load] : aReport.sum.byEndpoint)
    load = std::min(load, kMaxFrontLoad * aReport.sum.fronts);
  auto& reports = foreign ? aExchange.dataCenters : aExchange.children;
  auto const key = foreign ? aReport.dataCenter : aReport.front;
  auto const held = reports.find(key);
  if (held != reports.end() && !IsLater(aReport, held->second, aNow))
    return ReportVerdict::Outdated;
  if (held == reports.end() && reports.size() >= (foreign ? kMaxLoadDataCenters : kMaxLoadChildren))
    return ReportVerdict::TooMany;
  reports[key] = { std::move(aReport), aNow };
  return ReportVerdict::Accepted;
}

LoadSum
MakeReply(LoadExchange const& aExchange, LoadReport const& aReport, MonotonicTime aNow)
{
  if (aReport.dataCenter != aExchange.dataCenter)
    return SubtreeSum(aExchange, "", aNow);
  auto reply = SubtreeSum(aExchange, aReport.front, aNow);
  AddOutside(reply, aExchange, aNow);
  return reply;
}

void
TakeReply(LoadExchange& aExchange, LoadSum aReply, MonotonicTime aNow)
{
  aReply.fronts = std::min(aReply.fronts, kMaxLoadFronts);
  aReply.age = std::clamp<Duration>(aReply.age, Duration::zero(), 2 * kMaxLoadAge);
  aExchange.outside = std::move(aReply);
  aExchange.outsideReceived = aNow;
}

std::optional<FleetLoads>
MakeFleetLoads(LoadExchange const& aExchange,
               std::optional<FleetLoads> const& aFormer,
               std::size_t aFronts,
               MonotonicTime aNow)
{
  static constexpr double kMinKnownFronts = 0.1;
  LoadSum others;
  AddChildren(others, aExchange, "", aNow);
  AddOutside(others, aExchange, aNow);
  double const existing = double(aFronts) - 1;
  if (others.fronts == 0 || others.fronts < kMinKnownFronts * existing)
    return std::nullopt;
  FleetLoads loads{ std::move(others.byEndpoint),      &aExchange.own,       others.age, others.fronts,
                    aNow + (kMaxLoadAge - others.age), aExchange.requestLoad };
  // Fronts are counted twice for a moment when they change their parent; then nothing is scaled.
  if (auto const scale = existing / others.fronts; scale > 1)
    for (auto& [name, load] : loads.elsewhere)
      load *= scale;
  if (!aFormer)
    return loads;
  double const kept = std::exp(-Seconds(aExchange.interval) / kSmoothingSeconds);
  auto const smooth = [&](double aLoad, double aFormerLoad) {
    return aLoad > kJump * aFormerLoad ? aLoad : (1 - kept) * aLoad + kept * aFormerLoad;
  };
  for (auto& [name, load] : loads.elsewhere)
    if (auto const former = aFormer->elsewhere.find(name); former != aFormer->elsewhere.end())
      load = smooth(load, former->second);
  for (auto const& [name, load] : aFormer->elsewhere)
    if (kept * load >= 1)
      loads.elsewhere.try_emplace(name, kept * load);
  return loads;
}

double
EstimatedLoad(FleetLoads const& aLoads, EndpointProcess const& aProcess)
{
  auto const name = LoadNameOf(aProcess);
  auto const loadIn = [&](LoadByEndpoint const& aMap) {
    auto const found = aMap.find(name);
    return found == aMap.end() ? 0 : found->second;
  };
  return loadIn(aLoads.elsewhere) + (aLoads.own != nullptr ? loadIn(*aLoads.own) : 0);
}

}
