/// experiment: simulates open-loop load on the services of a deployment and compares the adaptive routing policy with
/// baseline policies. It runs on paused clocks: the same seed gives the same results on every machine.

#include <CLI/CLI.hpp>
#include <World/World.h>
#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <yaml-cpp/yaml.h>

using namespace Hornbeam;
using nlohmann::json;

namespace {

/// The portion of all requests that one account sends.
struct AccountLoad
{
  std::string account;
  double portion{ 0 };
};

/// The portion of all requests that one pipeline receives.
struct PipelineLoad
{
  std::string pipeline;
  double portion{ 0 };
  bool keyed{ false };
};

struct Deployment
{
  std::string name;
  int fronts{ 0 };
  std::vector<std::string> dataCenters;
  std::vector<AccountLoad> accounts;
  std::vector<PipelineLoad> pipelines;
  TableEdit table;
  /// Requests per second at which the bottleneck pool is fully used.
  double capacity{ 0 };
};

/// The incident that is injected into a run.
enum class Incident
{
  None,
  DataCenterMoves,
  EndpointsRestartCold,
  SlowStage,
  Burst,
};

struct IncidentName
{
  Incident incident;
  char const* name;
};

constexpr std::array kIncidents = {
  IncidentName{ Incident::None, "none" },
  IncidentName{ Incident::DataCenterMoves, "data-centre-moves" },
  IncidentName{ Incident::EndpointsRestartCold, "cold-again" },
  IncidentName{ Incident::SlowStage, "slow-stage" },
  IncidentName{ Incident::Burst, "burst" },
};

struct PolicyName
{
  RoutingPolicy policy;
  char const* name;
};

constexpr std::array kPolicies = {
  PolicyName{ RoutingPolicy::RoundRobin, "round-robin" },
  PolicyName{ RoutingPolicy::LeastOutstanding, "least-outstanding" },
  PolicyName{ RoutingPolicy::Adaptive, "adaptive" },
};

struct RunPlan
{
  RoutingPolicy policy{ RoutingPolicy::Adaptive };
  Incident incident{ Incident::None };
  double load{ 1 };
  Duration warmUp{ 10s };
  Duration length{ 20s };
  std::uint64_t seed{ 1 };
};

/// The results of one run, over its measured period.
struct RunResult
{
  int sent{ 0 };
  int inTime{ 0 };
  int violations{ 0 };
  std::map<std::string, int> refusals;
  std::map<std::string, std::pair<int, int>> accounts;
  std::vector<Duration> latencies;
  std::map<std::string, Duration> endpointTime;
  Duration wastedTime{ 0 };
  std::size_t tokens{ 0 };
  int coldOverloads{ 0 };
  int falls{ 0 };
};

Deployment
LoadDeployment(std::string const& aFile)
{
  auto const document = YAML::LoadFile(aFile);
  Deployment deployment;
  deployment.name = document["name"].as<std::string>();
  deployment.fronts = document["fronts"].as<int>();
  for (auto const& account : document["load"]["accounts"])
    deployment.accounts.push_back({ account.first.as<std::string>(), account.second.as<double>() });
  for (auto const& pipeline : document["load"]["pipelines"])
    deployment.pipelines.push_back({ pipeline.first.as<std::string>(), pipeline.second.as<double>(), false });
  deployment.table.identifier = "deployment";
  LastReason reason;
  for (auto const& row : document["rows"]) {
    auto const key = ParseRowKey(row.first.as<std::string>(), reason);
    VERIFY(key.has_value()) << reason.detail;
    Cells cells;
    for (auto const& cell : row.second)
      cells[cell.first.as<std::string>()] = cell.second.as<std::string>();
    if (key->kind == RowKind::DataCenter)
      deployment.dataCenters.push_back(key->name);
    deployment.table.rows.push_back({ *key, RowEditKind::Replace, cells, std::nullopt });
  }
  return deployment;
}

Table
CompileDeployment(Deployment& aDeployment, std::string& aStored)
{
  auto const outcome = ApplyEdit({}, aDeployment.table);
  VERIFY(outcome.verdict == EditVerdict::Applied) << outcome.reason.detail;
  aStored = EncodeTable(outcome.document);
  LastReason reason;
  auto table = *CompileTable(outcome.document, reason);
  for (auto& pipeline : aDeployment.pipelines)
    pipeline.keyed = table.pipelines.at(pipeline.pipeline).repeatability == Repeatability::NotRepeatable;
  return table;
}

constexpr double kBatchingCost = 0.05;

/// Returns the requests per second at which all warm endpoints of the bottleneck pool are at their limit.
double
CapacityOf(Deployment const& aDeployment, Table const& aTable)
{
  std::map<std::string, double> demand;
  for (auto const& pipeline : aDeployment.pipelines) {
    for (auto const& stage : aTable.pipelines.at(pipeline.pipeline).stages)
      demand[stage] += pipeline.portion;
  }
  double capacity = 1e9;
  for (auto const& [name, portion] : demand) {
    auto const& pool = aTable.pools.at(name);
    double const slowed = 1 + kBatchingCost * (pool.warmLimit - 1);
    double const perEndpoint =
      pool.warmLimit / (std::chrono::duration<double>(pool.expectedServiceTime).count() * slowed);
    auto const endpoints =
      std::ranges::count_if(aTable.endpoints, [&](auto const& aEndpoint) { return aEndpoint.second.pool == name; });
    capacity = std::min(capacity, perEndpoint * static_cast<double>(endpoints) / portion);
  }
  return capacity;
}

constexpr int kGenerationTokens = 20;

/// Executes one run plan.
class Run
{
public:
  Run(Deployment const& aDeployment, Table const& aTable, std::string const& aStored, RunPlan const& aPlan)
    : deployment(aDeployment)
    , table(aTable)
    , plan(aPlan)
    , world(aPlan.seed)
    , random(aPlan.seed)
  {
    this->world.SetPolicy(aPlan.policy);
    this->world.LoadTable(aStored);
    for (auto const& [name, endpoint] : aTable.endpoints) {
      auto const& pool = aTable.pools.at(endpoint.pool);
      EndpointModelSettings settings;
      settings.service = pool.expectedServiceTime;
      settings.tokens = endpoint.pool.starts_with("generate") ? kGenerationTokens : 0;
      settings.warmCapacity = pool.warmLimit * 5 / 4;
      settings.coldCapacity = pool.coldLimit;
      settings.coldFactor = 2;
      settings.callsToWarm = 12;
      settings.batchingCost = kBatchingCost;
      settings.startsWarm = true;
      this->world.AddEndpoint(name, settings);
    }
    for (int front = 0; front < aDeployment.fronts; ++front) {
      auto const& dataCenter =
        aDeployment.dataCenters[static_cast<std::size_t>(front) % aDeployment.dataCenters.size()];
      this->fronts.push_back("front-" + std::to_string(front + 1));
      this->world.AddFront(this->fronts.back(), dataCenter);
    }
  }

  RunResult Execute()
  {
    VERIFY(this->world.AwaitMembership(60s));
    this->GenerateLoad(this->plan.warmUp);
    this->measuredFrom = this->world.Now();
    this->GenerateLoad(this->plan.length);
    auto const measuredUntil = this->world.Now();
    this->world.Advance(7s);
    this->world.CheckResponses();
    return this->Collect(measuredUntil);
  }

private:
  template<typename Loads>
  auto const& Pick(Loads const& aLoads)
  {
    double total = 0;
    for (auto const& load : aLoads)
      total += load.portion;
    double point = std::uniform_real_distribution<>(0, total)(this->random);
    for (auto const& load : aLoads) {
      point -= load.portion;
      if (point <= 0)
        return load;
    }
    return aLoads.back();
  }

  bool IsMeasuring() const { return this->measuredFrom.has_value(); }

  double CurrentRate() const
  {
    double const rate = this->deployment.capacity * this->plan.load;
    if (!this->IsMeasuring() || this->plan.incident != Incident::Burst)
      return rate;
    auto const at = this->world.Now() - *this->measuredFrom;
    bool const bursting = at > this->plan.length / 4 && at < this->plan.length / 2;
    return bursting ? 2 * rate : rate;
  }

  /// Picks an account by its portion. During a burst, the first and largest account sends half of the requests, in
  /// addition to its portion of the others.
  std::string PickAccount()
  {
    bool const bursting = this->CurrentRate() > this->deployment.capacity * this->plan.load * 1.5;
    if (bursting && this->random() % 2 == 0)
      return this->deployment.accounts.front().account;
    return this->Pick(this->deployment.accounts).account;
  }

  void GenerateLoad(Duration aLength)
  {
    auto const end = this->world.Now() + aLength;
    while (this->world.Now() < end) {
      this->ApplyIncident();
      std::poisson_distribution<int> arrivals(this->CurrentRate() / 1000);
      for (int arrival = arrivals(this->random); arrival > 0; --arrival)
        this->Send();
      this->world.Advance(1ms);
    }
  }

  void Send()
  {
    auto const& front = this->fronts[this->random() % this->fronts.size()];
    auto const& pipeline = this->Pick(this->deployment.pipelines);
    auto const number = std::to_string(++this->sent);
    auto const key = pipeline.keyed ? this->world.KeyPrefix(front) + "~k" + number : std::string();
    this->world.Submit(front, pipeline.pipeline, this->PickAccount(), pipeline.pipeline + "-" + number, key);
  }

  void ApplyIncident()
  {
    if (!this->IsMeasuring())
      return;
    auto const at = this->world.Now() - *this->measuredFrom;
    auto const& dataCenter = this->deployment.dataCenters.front();
    bool const begins = at == this->plan.length / 4;
    bool const ends = at == this->plan.length / 2;
    if (!begins && !ends)
      return;
    if (this->plan.incident == Incident::DataCenterMoves)
      this->world.SetDataCenterState(this->fronts.back(), dataCenter, begins ? "out" : "in");
    for (auto const& [name, endpoint] : this->table.endpoints) {
      if (endpoint.dataCenter != dataCenter)
        continue;
      if (this->plan.incident == Incident::EndpointsRestartCold && begins)
        this->world.Endpoint(name).Restart();
      if (this->plan.incident == Incident::SlowStage && endpoint.pool.starts_with("generate"))
        this->world.Endpoint(name).Model().slowness = begins ? 3 : 1;
    }
  }

  RunResult Collect(MonotonicTime aUntil)
  {
    RunResult result;
    for (auto const& request : this->world.Requests()) {
      if (request->sentAt < *this->measuredFrom || request->sentAt >= aUntil)
        continue;
      ++result.sent;
      auto& account = result.accounts[request->request.account];
      ++account.second;
      bool const succeeded = request->responseCount == 1 && !request->response.refusal &&
                             request->response.output == request->expectedOutput &&
                             request->respondedAt <= request->deadline;
      if (!succeeded) {
        bool const refused = request->responseCount > 0 && request->response.refusal;
        ++result.refusals[refused ? ToString(request->response.refusal->reason) : "no-answer"];
        continue;
      }
      ++result.inTime;
      ++account.first;
      result.tokens += request->response.tokens;
      result.latencies.push_back(request->respondedAt - request->sentAt);
    }
    for (auto const& front : this->fronts) {
      auto const& usage = this->world.FrontNamed(front).Find<RequestService>(ServiceName::kRequests).Usage();
      result.wastedTime += usage.wastedTime;
      for (auto const& [pool, time] : usage.endpointTime)
        result.endpointTime[pool] += time;
    }
    for (auto const& [name, endpoint] : this->table.endpoints) {
      result.coldOverloads += this->world.Endpoint(name).Model().coldOverloads;
      result.falls += this->world.Endpoint(name).Model().crashes;
    }
    result.violations = static_cast<int>(this->world.Violations().size());
    std::ranges::sort(result.latencies);
    return result;
  }

  Deployment const& deployment;
  Table const& table;
  RunPlan plan;
  World world;
  std::mt19937_64 random;
  std::vector<std::string> fronts;
  std::optional<MonotonicTime> measuredFrom;
  int sent{ 0 };
};

std::int64_t
Quantile(std::vector<Duration> const& aSorted, double aQuantile)
{
  if (aSorted.empty())
    return 0;
  auto const index = static_cast<std::size_t>(aQuantile * static_cast<double>(aSorted.size() - 1));
  return Milliseconds(aSorted[index]);
}

json
ToJson(Deployment const& aDeployment,
       RunPlan const& aPlan,
       char const* aPolicy,
       char const* aIncident,
       RunResult const& aResult)
{
  json accounts = json::object();
  for (auto const& [name, count] : aResult.accounts)
    accounts[name] = { { "in_time", count.first }, { "sent", count.second } };
  json stages = json::object();
  for (auto const& [pool, time] : aResult.endpointTime)
    stages[pool] = std::chrono::duration<double>(time).count();
  double const seconds = std::chrono::duration<double>(aPlan.length).count();
  return { { "deployment", aDeployment.name },
           { "policy", aPolicy },
           { "incident", aIncident },
           { "load", aPlan.load },
           { "seed", aPlan.seed },
           { "sent", aResult.sent },
           { "attainment", aResult.sent == 0 ? 0.0 : double(aResult.inTime) / aResult.sent },
           { "goodput_of_capacity", aResult.inTime / seconds / aDeployment.capacity },
           { "refusals", aResult.refusals },
           { "p50_ms", Quantile(aResult.latencies, 0.5) },
           { "p95_ms", Quantile(aResult.latencies, 0.95) },
           { "p99_ms", Quantile(aResult.latencies, 0.99) },
           { "endpoint_seconds", stages },
           { "wasted_endpoint_seconds", std::chrono::duration<double>(aResult.wastedTime).count() },
           { "tokens", aResult.tokens },
           { "endpoint_falls", aResult.falls },
           { "cold_overloads", aResult.coldOverloads },
           { "violations", aResult.violations },
           { "accounts", accounts } };
}

void
PrintLine(json const& aRow)
{
  std::cout << std::left << std::setw(11) << aRow["deployment"].get<std::string>() << std::setw(19)
            << aRow["incident"].get<std::string>() << std::right << std::setw(5) << aRow["load"].get<double>() << "  "
            << std::left << std::setw(18) << aRow["policy"].get<std::string>() << std::right << std::fixed
            << std::setprecision(3) << std::setw(10) << aRow["attainment"].get<double>() << std::setw(9)
            << aRow["goodput_of_capacity"].get<double>() << std::setw(7) << aRow["p50_ms"].dump() << std::setw(7)
            << aRow["p95_ms"].dump() << std::setw(7) << aRow["p99_ms"].dump() << std::setprecision(1) << std::setw(9)
            << aRow["wasted_endpoint_seconds"].get<double>() << std::setw(7) << aRow["endpoint_falls"].dump()
            << std::setw(6) << aRow["violations"].dump() << "  " << aRow["refusals"].dump() << std::endl;
  std::cout.unsetf(std::ios::fixed);
  std::cout << std::setprecision(6);
}

}

int
main(int aCount, char** aArguments)
{
  CLI::App application{ "experiment: compares routing policies under open-loop load" };
  std::string file;
  std::string jsonFile;
  std::vector<double> loads{ 0.5, 0.8, 1.0, 1.5 };
  std::vector<std::string> incidents;
  std::vector<std::string> policies;
  std::uint64_t seed = 1;
  int seconds = 20;
  application.add_option("deployment", file, "A deployment file, such as Base/yaqona/deployment.yaml")->required();
  application.add_option("--load", loads, "Loads as fractions of capacity");
  application.add_option(
    "--incident", incidents, "none, data-centre-moves, cold-again, slow-stage, burst; all by default");
  application.add_option("--policy", policies, "round-robin, least-outstanding, adaptive; all by default");
  application.add_option("--seed", seed, "Seed of the random number generators");
  application.add_option("--seconds", seconds, "Measured duration of one run in seconds");
  application.add_option("--json", jsonFile, "File to write all results to, as JSON");
  CLI11_PARSE(application, aCount, aArguments);
  google::InitGoogleLogging(aArguments[0]);
  FLAGS_logtostderr = true;
  if (std::getenv("HORNBEAM_LOG") == nullptr)
    FLAGS_minloglevel = google::GLOG_ERROR;
  auto deployment = LoadDeployment(file);
  std::string stored;
  auto const table = CompileDeployment(deployment, stored);
  deployment.capacity = CapacityOf(deployment, table);
  std::cout
    << "# capacity " << deployment.capacity << " requests/s, seed " << seed << ", " << seconds << " s a run\n"
    << "deployment incident            load  policy            attainment  goodput  p50  p95 p99 ms  wasted s  falls "
       "violations  refusals\n";
  auto const isSelected = [](std::vector<std::string> const& aNames, char const* aName) {
    return aNames.empty() || std::ranges::find(aNames, aName) != aNames.end();
  };
  json rows = json::array();
  for (auto const& incident : kIncidents) {
    for (double const load : loads) {
      for (auto const& policy : kPolicies) {
        if (!isSelected(incidents, incident.name) || !isSelected(policies, policy.name))
          continue;
        RunPlan const plan{ policy.policy, incident.incident, load, 20s, std::chrono::seconds(seconds), seed };
        auto const result = Run(deployment, table, stored, plan).Execute();
        rows.push_back(ToJson(deployment, plan, policy.name, incident.name, result));
        PrintLine(rows.back());
      }
    }
  }
  if (!jsonFile.empty())
    std::ofstream(jsonFile) << rows.dump(2) << "\n";
}
