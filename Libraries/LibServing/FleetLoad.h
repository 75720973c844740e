#pragma once

#include "EndpointSet.h"
#include "FrontSet.h"

namespace Hornbeam::Gateway {

/// Names an endpoint's process between fronts: 24 bits of a hash. Two of 140 processes share a name with a probability
/// of 0.06%; they then share an estimate. Longer names would make the exchange slower (docs/design/EvenLoad.md).
using LoadName = std::uint32_t;
/// The load of endpoints, by name; endpoints without load may be missing.
using LoadByEndpoint = std::unordered_map<LoadName, double>;

LoadName
LoadNameOf(EndpointProcess const& aProcess);

/// Values that are older are not used.
inline constexpr Duration kMaxLoadAge = 3s;
inline constexpr std::size_t kMaxLoadEntries = 1024;
inline constexpr std::size_t kMaxLoadChildren = 64;
inline constexpr std::size_t kMaxLoadDataCenters = 16;
inline constexpr unsigned kMaxLoadFronts = 4096;
/// Bounds the load of one request, and each of the numbers that it is calculated from.
inline constexpr double kMaxTokens = 1'000'000;

/// The tokens of a request, as its caller states them.
struct TokenUsage
{
  double prompt{ 0 };
  double output{ 0 };
};

/// Returns the load that a request puts on its endpoint: prompt + 10 x output tokens, or 1 if they are not known. Each
/// number is bounded to 0 to 1,000,000.
double
LoadOf(std::optional<TokenUsage> const& aUsage);

/// The load that some fronts put on endpoints.
struct LoadSum
{
  unsigned fronts{ 0 };
  /// The mean age of the fronts' loads.
  Duration age{ 0 };
  LoadByEndpoint byEndpoint;
};

/// Encodes loads in four bytes per endpoint, within 1.5%; after a header of four bytes. Of more than kMaxLoadEntries,
/// the greatest are encoded.
std::string
EncodeLoads(LoadByEndpoint const& aLoads);

/// Returns nothing if the bytes are not the encoding of at most kMaxLoadEntries loads.
std::optional<LoadByEndpoint>
DecodeLoads(std::string_view aBytes);

/// The position of a front in the tree of its data centre: the collector of the data centre (level 0), one of a group
/// (level 1), or none (level 2). The collectors of all data centres exchange their sums.
struct LoadRole
{
  unsigned level{ 2 };
  /// To which this front reports; nothing at the collector of the data centre.
  std::optional<FrontEntry> parent;
  /// The collectors of the other data centres that this one calls; each pair exchanges in one call.
  std::vector<FrontEntry> peers;
  /// Time between two reports, such that no front of the fleet has to transfer more than kLoadBytesPerSecond.
  Duration interval{ 1s };
};

/// The bytes per second that a front may transfer for the exchange, below the 12 KB/s that all fronts are allowed.
inline constexpr double kLoadBytesPerSecond = 11'700;

/// Estimated bytes of a report with its reply, and of an exchange between collectors. aEndpoints is the number of model
/// endpoints.
double
BytesPerReport(std::size_t aEndpoints);
double
BytesPerExchange(std::size_t aEndpoints);

/// The number of groups of a data centre, and the interval between reports that follows from it.
struct LoadTree
{
  std::size_t groups{ 1 };
  Duration interval{ 1s };
};

LoadTree
PlanLoadTree(std::size_t aFronts, std::size_t aDataCenters, std::size_t aEndpoints);

/// Returns the role of a front; nothing if its own entry is not known. Fronts in aUnreachable are passed over, as are
/// suspected ones. Weak fronts do not become collectors while there are enough strong ones.
std::optional<LoadRole>
FindLoadRole(FrontSet const& aFronts,
             std::string const& aOwnName,
             std::set<std::string> const& aUnreachable,
             std::size_t aEndpoints,
             MonotonicTime aNow);

/// A report of a front to its parent, or of the collector of a data centre to another one.
struct LoadReport
{
  std::string front;
  std::string dataCenter;
  std::int64_t incarnation{ 0 };
  /// Increases with each report of a process.
  std::uint64_t number{ 0 };
  unsigned level{ 0 };
  /// The load of the front and of all that report to it.
  LoadSum sum;
};

/// What a front knows of the load of its fleet.
struct LoadExchange
{
  struct HeldReport
  {
    LoadReport report;
    MonotonicTime received{};
  };

  std::string front;
  std::string dataCenter;
  std::int64_t incarnation{ 0 };
  std::uint64_t number{ 0 };
  unsigned level{ 2 };
  /// Time between two reports of a front.
  Duration interval{ 1s };
  /// The load of this front's own requests.
  LoadByEndpoint own;
  /// The mean load of a request, smoothed over this front's requests.
  double requestLoad{ 0 };
  /// The latest reports of the fronts that report to this one, by front.
  std::map<std::string, HeldReport> children;
  /// The latest sums of the other data centres, by data centre.
  std::map<std::string, HeldReport> dataCenters;
  /// The parent's last reply: the load of all fronts except this one and those that report to it.
  std::optional<LoadSum> outside;
  MonotonicTime outsideReceived{};
};

void
AddOwnLoad(LoadExchange& aExchange, EndpointProcess const& aProcess, double aLoad);

void
RemoveOwnLoad(LoadExchange& aExchange, EndpointProcess const& aProcess, double aLoad);

/// Applies a change of this front's role. What was learnt in another role is dropped, as it would be counted twice.
void
SetLoadLevel(LoadExchange& aExchange, unsigned aLevel);

/// Makes the next report to the parent or to another collector.
LoadReport
MakeReport(LoadExchange& aExchange, MonotonicTime aNow);

enum class ReportVerdict
{
  Accepted,
  /// An earlier report, or one of an earlier process.
  Outdated,
  /// Its sender's level is not below this front's; sums of a cycle of fronts would grow without end.
  WrongLevel,
  TooMany,
};

ReportVerdict
TakeReport(LoadExchange& aExchange, LoadReport aReport, MonotonicTime aNow);

/// Returns the reply to a report: to a front of the same data centre the load of all others, to another collector the
/// load of this data centre.
LoadSum
MakeReply(LoadExchange const& aExchange, LoadReport const& aReport, MonotonicTime aNow);

/// Records the parent's reply.
void
TakeReply(LoadExchange& aExchange, LoadSum aReply, MonotonicTime aNow);

/// The fleet's load as a front estimates it.
struct FleetLoads
{
  /// The load that other fronts put on endpoints, scaled to their number.
  LoadByEndpoint elsewhere;
  LoadByEndpoint const* own{ nullptr };
  /// The mean age of what the other fronts reported.
  Duration age{ 0 };
  /// The number of other fronts whose load is known.
  unsigned fronts{ 0 };
  /// When the loads are too old to be used.
  MonotonicTime expires{};
  /// The mean load of this front's requests; zero if it has sent none.
  double requestLoad{ 0 };
};

/// Makes the view of a front from what it holds and from its former view, which is given while it has not expired; to
/// be called once in each interval. Returns nothing unless the load of at least a tenth of the other fronts is known
/// and not older than kMaxLoadAge.
std::optional<FleetLoads>
MakeFleetLoads(LoadExchange const& aExchange,
               std::optional<FleetLoads> const& aFormer,
               std::size_t aFronts,
               MonotonicTime aNow);

/// Estimates the load of an endpoint now.
double
EstimatedLoad(FleetLoads const& aLoads, EndpointProcess const& aProcess);

}
