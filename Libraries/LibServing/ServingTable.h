#pragma once

#include <LibCore/LibCore.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Hornbeam::Gateway {

/// What may be repeated.
enum class RequestKind
{
  Safe,
  Unsafe,
  Streaming,
};

/// One stage of work before a request can run.
struct StageRule
{
  std::string service;
  /// Positions of the stages whose results this one needs.
  std::vector<unsigned> after;
  std::size_t resultBytes{ 0 };
};

struct WeightedService
{
  std::string service;
  double weight{ 1 };
};

struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix;
  RequestKind kind{ RequestKind::Unsafe };
  /// The longest time that a caller is kept waiting.
  Duration timeout{ 30s };
  Duration targetLatency{ 1s };
  /// Zero is the most urgent.
  int priority{ 0 };
  std::vector<WeightedService> services;
  /// Endpoints to which one request may be sent.
  unsigned maxAttempts{ 1 };
  std::vector<StageRule> stages;
  bool needsKey{ true };
  bool prefixAffinity{ false };
  /// An interrupted stream may go on at another endpoint.
  bool resumable{ false };
};

/// Limits of one endpoint of a service that works on stages.
struct StageLimits
{
  unsigned slots{ 1 };
  /// Pieces in one call.
  unsigned batch{ 1 };
  Duration callTime{ 0 };
  Duration itemTime{ 0 };
  /// Memory for results.
  std::size_t resultMemory{ 0 };
  Duration resultLifetime{ 0 };
};

struct ServiceRule
{
  std::string name;
  unsigned maxConnections{ 1 };
  Duration coldTime{ 0 };
  /// Requests a second that a cold endpoint bears; zero when its endpoints are never cold.
  double coldRate{ 0 };
  std::optional<StageLimits> stage;
};

/// What callers may send.
struct CallerRules
{
  std::size_t maxHeaderBytes{ 16384 };
  std::size_t maxBodyBytes{ 4194304 };
  Duration headerTimeout{ 3s };
  Duration idleTimeout{ 15s };
};

struct ClientAccount
{
  std::string name;
  /// Goes before the route's priority.
  std::optional<int> priority;
};

/// One version of what operators steer by, with its indexes.
struct ServingTable
{
  std::uint64_t version{ 0 };
  /// Routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<Route>> routes;
  std::map<std::string, ServiceRule> services;
  CallerRules callers;
  /// Empty when the table knows no accounts; then no request needs a key.
  std::optional<std::unordered_map<std::string, ClientAccount>> accountsByKey;
};

/// The route with the longest prefix of the path; null when none matches. aTarget may carry a query.
Route const*
MatchRoute(ServingTable const& aTable, std::string const& aHost, std::string_view aTarget);

enum class KeyVerdict
{
  Granted,
  NotNeeded,
  Unknown,
};

struct KeyCheck
{
  KeyVerdict verdict{ KeyVerdict::Unknown };
  ClientAccount account;
};

/// Whether a request with this key may use the route. aKey is empty when the request brought none.
KeyCheck
CheckKey(ServingTable const& aTable, Route const& aRoute, std::string const& aKey);

/// Picks one of a route's services by weight; aDraw is uniform in [0, 1).
std::string const&
PickService(Route const& aRoute, double aDraw);

/// The rule of a service; a default when the table does not name it.
ServiceRule const&
RuleOf(ServingTable const& aTable, std::string const& aService);

}
