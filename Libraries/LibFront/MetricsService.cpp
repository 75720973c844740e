#include "MetricsService.h"
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace Hornbeam {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

using Labels = std::vector<ClientMetric::Label>;

/// Builds the metric families of one page.
struct MetricsPage
{
  std::vector<MetricFamily> families;

  void Begin(std::string aName, std::string aHelp, MetricType aType)
  {
    MetricFamily family;
    family.name = "hornbeamfront_" + std::move(aName);
    family.help = std::move(aHelp);
    family.type = aType;
    this->families.push_back(std::move(family));
  }

  void Add(Labels aLabels, double aValue)
  {
    ClientMetric metric;
    metric.label = std::move(aLabels);
    if (this->families.back().type == MetricType::Counter)
      metric.counter.value = aValue;
    else
      metric.gauge.value = aValue;
    this->families.back().metric.push_back(std::move(metric));
  }

  void Counter(std::string aName, std::string aHelp, double aValue)
  {
    this->Begin(std::move(aName), std::move(aHelp), MetricType::Counter);
    this->Add({}, aValue);
  }

  void Gauge(std::string aName, std::string aHelp, double aValue)
  {
    this->Begin(std::move(aName), std::move(aHelp), MetricType::Gauge);
    this->Add({}, aValue);
  }
};

MetricsService::MetricsService(Kernel& aKernel)
  : membership(aKernel.Find<MembershipService>(ServiceName::kMembership))
  , configuration(aKernel.Find<ConfigurationService>(ServiceName::kConfiguration))
  , grants(aKernel.Find<GrantService>(ServiceName::kGrants))
  , requests(aKernel.Find<RequestService>(ServiceName::kRequests))
{
}

void
MetricsService::AddPortUsage(StoreUsage const& aStore, PeerUsage const& aPeers)
{
  this->store = &aStore;
  this->peers = &aPeers;
}

static void
AddRequests(MetricsPage& aPage, RequestService const& aRequests)
{
  auto const& usage = aRequests.Usage();
  aPage.Counter("requests_received_total", "Requests from callers and other fronts.", double(usage.received));
  aPage.Counter("requests_completed_total", "Requests that got their whole answer.", double(usage.completed));
  aPage.Begin("requests_refused_total", "Refused requests by reason.", MetricType::Counter);
  for (auto const& [reason, count] : usage.refused)
    aPage.Add({ { "reason", ToString(reason) } }, double(count));
  aPage.Gauge("requests_active", "Requests that are being worked on.", double(aRequests.ActiveRequests()));
  aPage.Gauge("keys_known", "Idempotency keys in memory.", double(aRequests.KnownKeys()));
  aPage.Counter("attempts_total", "Attempts at endpoints.", double(usage.attempts));
  aPage.Counter("retries_total", "Attempts after the first of a stage.", double(usage.retries));
  aPage.Counter("attempts_wasted_total", "Attempts whose work was thrown away.", double(usage.wastedAttempts));
  aPage.Counter("attempts_wasted_seconds_total", "Endpoint time of those attempts.", Seconds(usage.wastedTime));
  aPage.Begin("endpoint_seconds_total", "Endpoint time by pool.", MetricType::Counter);
  for (auto const& [pool, time] : usage.endpointTime)
    aPage.Add({ { "pool", pool } }, Seconds(time));
}

static void
AddStore(MetricsPage& aPage, StoreUsage const& aStore)
{
  aPage.Begin("store_calls_total", "Calls to the platform's store by kind.", MetricType::Counter);
  aPage.Add({ { "kind", "read" } }, double(aStore.reads));
  aPage.Add({ { "kind", "write" } }, double(aStore.writes));
  aPage.Add({ { "kind", "watch" } }, double(aStore.watches));
  aPage.Counter("store_calls_refused_total", "Calls that the budget held back.", double(aStore.refusedByBudget));
  aPage.Counter("store_versions_regressed_total",
                "Responses about objects that had gone back to an earlier version.",
                double(aStore.versionRegressions));
}

static void
AddPeers(MetricsPage& aPage, PeerUsage const& aPeers)
{
  aPage.Begin("peer_calls_total", "Calls to other fronts by kind.", MetricType::Counter);
  aPage.Add({ { "kind", "heartbeat" } }, double(aPeers.heartbeats));
  aPage.Add({ { "kind", "grants" } }, double(aPeers.grantBatches));
  aPage.Add({ { "kind", "table" } }, double(aPeers.tableFetches));
  aPage.Add({ { "kind", "forward" } }, double(aPeers.forwards));
  aPage.Counter("peer_grant_items_total", "Keys in grant requests to other fronts.", double(aPeers.grantItems));
}

std::string
MetricsService::Render() const
{
  MetricsPage page;
  AddRequests(page, this->requests);
  auto const& state = this->membership.State();
  page.Gauge("epoch", "The known epoch.", state.record ? double(state.record->epoch) : 0);
  page.Gauge("lease_held", "One while this front may take new work.", this->membership.HoldsLeaseNow() ? 1 : 0);
  page.Gauge("table_revision", "The revision in force here.", double(this->configuration.Document().revision));
  page.Gauge("ledgers", "Keys that this front answers for now.", double(this->grants.LedgerCount()));
  if (this->store != nullptr)
    AddStore(page, *this->store);
  if (this->peers != nullptr)
    AddPeers(page, *this->peers);
  return prometheus::TextSerializer().Serialize(page.families);
}

}
