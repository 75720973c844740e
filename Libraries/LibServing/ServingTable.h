#pragma once

#include <LibCore/LibCore.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Hornbeam::Gateway {

/// Determines which requests may be retried.
enum class RequestKind
{
  Safe,
  Unsafe,
  Streaming,
};

/// One stage that must complete before a request can run.
struct StageRule
{
  std::string service;
  /// Positions of the stages whose results this stage needs.
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
  /// Longest time that a caller waits for a response.
  Duration timeout{ 30s };
  Duration targetLatency{ 1s };
  /// Zero is the most urgent.
  int priority{ 0 };
  std::vector<WeightedService> services;
  /// Number of endpoints to which one request may be sent.
  unsigned maxAttempts{ 1 };
  std::vector<StageRule> stages;
  bool needsKey{ true };
  bool prefixAffinity{ false };
  /// An interrupted stream may be resumed at another endpoint.
  bool resumable{ false };
};

/// Limits of one endpoint of a stage service.
struct StageLimits
{
  unsigned slots{ 1 };
  /// Maximum number of items in one call.
  unsigned batch{ 1 };
  Duration callTime{ 0 };
  Duration itemTime{ 0 };
  /// Bytes of memory for results.
  std::size_t resultMemory{ 0 };
  Duration resultLifetime{ 0 };
};

struct ServiceRule
{
  std::string name;
  unsigned maxConnections{ 1 };
  Duration coldTime{ 0 };
  /// Requests per second that a cold endpoint can serve; zero if the service's endpoints are never cold.
  double coldRate{ 0 };
  std::optional<StageLimits> stage;
  /// The endpoints run models, whose load depends on the tokens of their requests.
  bool hasModelEndpoints{ false };
  /// The number of requests that a model endpoint runs at once; zero if the table does not tell.
  unsigned modelSlots{ 0 };
};

/// Limits on what callers may send.
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
  /// Takes precedence over the route's priority.
  std::optional<int> priority;
};

/// One version of the operators' table, with its indexes.
struct ServingTable
{
  std::uint64_t version{ 0 };
  /// Routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<Route>> routes;
  std::map<std::string, ServiceRule> services;
  CallerRules callers;
  /// Empty if the table has no accounts; then no request needs a key.
  std::optional<std::unordered_map<std::string, ClientAccount>> accountsByKey;
};

/// Returns the route with the longest matching path prefix; null if none matches. aTarget may contain a query.
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

/// Checks whether a request with this key may use the route. aKey is empty if the request has none.
KeyCheck
CheckKey(ServingTable const& aTable, Route const& aRoute, std::string const& aKey);

/// Picks one of a route's services by weight; aDraw is uniform in [0, 1).
std::string const&
PickService(Route const& aRoute, double aDraw);

/// Returns the rule of a service, or a default if the table does not name it.
ServiceRule const&
RuleOf(ServingTable const& aTable, std::string const& aService);

}
