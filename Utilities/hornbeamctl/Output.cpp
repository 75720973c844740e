#include "Output.h"
#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>

namespace Hornbeam {

using nlohmann::json;

static constexpr int kIndent = 2;

void
PrintColumns(std::vector<std::string> const& aHeading, std::vector<std::vector<std::string>> const& aRows)
{
  std::vector<std::size_t> widths;
  widths.reserve(aHeading.size());
  for (auto const& title : aHeading)
    widths.push_back(title.size());
  for (auto const& row : aRows) {
    for (std::size_t column = 0; column < row.size(); ++column)
      widths[column] = std::max(widths[column], row[column].size());
  }
  auto const print = [&](std::vector<std::string> const& aCells) {
    for (std::size_t column = 0; column < aCells.size(); ++column) {
      bool const last = column + 1 == aCells.size();
      std::cout << std::left << std::setw(last ? 0 : static_cast<int>(widths[column] + 2)) << aCells[column];
    }
    std::cout << "\n";
  };
  print(aHeading);
  std::ranges::for_each(aRows, print);
}

static std::string
CellText(json const& aCells)
{
  std::string text;
  for (auto const& [name, value] : aCells.items())
    text += (text.empty() ? "" : " ") + name + "=" + value.get<std::string>();
  return text;
}

void
PrintRows(json const& aRows, OutputFormat aFormat)
{
  if (aFormat == OutputFormat::Json) {
    std::cout << aRows.dump(kIndent) << "\n";
    return;
  }
  std::vector<std::vector<std::string>> rows;
  for (auto const& row : aRows)
    rows.push_back({ row.value("row", ""), std::to_string(row.value("revision", 0)), CellText(row["cells"]) });
  PrintColumns({ "ROW", "REVISION", "CELLS" }, rows);
}

/// Returns a member of an object as text; a dash if it is missing or null.
static std::string
MemberText(json const& aObject, char const* aName)
{
  auto const found = aObject.find(aName);
  if (found == aObject.end() || found->is_null() || *found == "")
    return "-";
  return found->is_string() ? found->get<std::string>() : found->dump();
}

/// Prints some members of each object of a list as columns, below an empty line.
template<std::size_t Count>
static void
PrintMembers(json const& aList, std::vector<std::string> const& aHeading, std::array<char const*, Count> const& aNames)
{
  std::vector<std::vector<std::string>> rows;
  for (auto const& item : aList) {
    auto& row = rows.emplace_back();
    for (auto const* name : aNames)
      row.push_back(MemberText(item, name));
  }
  std::cout << "\n";
  PrintColumns(aHeading, rows);
}

void
PrintExplanation(json const& aExplanation, OutputFormat aFormat)
{
  if (aFormat == OutputFormat::Json) {
    std::cout << aExplanation.dump(kIndent) << "\n";
    return;
  }
  auto const text = [&](char const* aName) { return MemberText(aExplanation, aName); };
  auto const route = aExplanation.value("route", json::object());
  PrintColumns({ "VERDICT", "STATUS", "REASON", "ROUTE", "ACCOUNT", "FRONT", "STOPPING", "TABLE", "AGE MS" },
               { { text("verdict"),
                   text("status"),
                   text("reason"),
                   MemberText(route, "name"),
                   text("account"),
                   text("front"),
                   text("stopping"),
                   text("table_version"),
                   text("age_ms") } });
  if (aExplanation.contains("quarantined"))
    PrintMembers(
      json::array({ aExplanation["quarantined"] }), { "QUARANTINED", "LEFT MS" }, std::array{ "candidate", "left_ms" });
  if (aExplanation.contains("stages"))
    PrintMembers(
      aExplanation["stages"],
      { "STAGE", "ITEMS", "OWNER", "ENDPOINTS", "BACKLOG MS", "REPORTED MS AGO", "POOL BACKLOG MS" },
      std::array{ "service", "items", "owner", "endpoints", "backlog_ms", "backlog_age_ms", "pool_backlog_ms" });
  auto const services = aExplanation.value("services", json::array());
  if (!services.empty())
    PrintMembers(services,
                 { "SERVICE", "WEIGHT", "CHOSEN", "QUOTA" },
                 std::array{ "service", "weight", "chosen", "connection_quota" });
  for (auto const& service : services)
    PrintMembers(service.value("endpoints", json::array()),
                 { "ENDPOINT",
                   "REASON",
                   "DATA CENTRE",
                   "VERSION",
                   "OUTSTANDING",
                   "CONNECTED",
                   "AFFINITY",
                   "COLD MS",
                   "EJECTED MS",
                   "LIMIT",
                   "PAUSED MS",
                   "WAIT MS",
                   "STATE",
                   "STATE AGE MS" },
                 std::array{ "id",
                             "reason",
                             "data_center",
                             "software",
                             "outstanding",
                             "connected",
                             "affinity_rank",
                             "cold_ms",
                             "ejected_ms",
                             "limit",
                             "paused_ms",
                             "wait_ms",
                             "state",
                             "state_age_ms" });
}

void
PrintKnownState(json const& aState, OutputFormat aFormat)
{
  if (aFormat == OutputFormat::Json) {
    std::cout << aState.dump(kIndent) << "\n";
    return;
  }
  auto const& text = MemberText;
  PrintColumns({ "FRONT", "TABLE", "AGE MS", "STORE REACHED", "LEAVING", "DATA CENTRES OUT" },
               { { text(aState, "name"),
                   text(aState, "table_version"),
                   text(aState, "age_ms"),
                   text(aState, "store_reached"),
                   text(aState, "leaving"),
                   text(aState, "data_centers_out") } });
  auto const print = [&](char const* aList, std::vector<std::string> const& aHeading, auto const& aNames) {
    PrintMembers(aState.value(aList, json::array()), aHeading, aNames);
  };
  print("fronts", { "FRONT", "ADDRESS", "SUSPECT MS" }, std::array{ "name", "address", "suspect_ms" });
  print("endpoints",
        { "ENDPOINT", "SERVICE", "DATA CENTRE", "STATE", "COLD MS", "EJECTED MS", "OUTSTANDING" },
        std::array{ "id", "service", "data_center", "state", "cold_ms", "ejected_ms", "outstanding" });
  print("stage_pools",
        { "STAGE POOL", "ORDERS", "RUNNING CALLS", "RESULTS HELD", "BACKLOG MS" },
        std::array{ "service", "orders", "running_calls", "results_held", "backlog_ms" });
}

void
PrintStatus(json const& aStatus, OutputFormat aFormat)
{
  if (aFormat == OutputFormat::Json) {
    std::cout << aStatus.dump(kIndent) << "\n";
    return;
  }
  std::cout << "front " << aStatus.value("front", "") << ", epoch " << aStatus.value("epoch", 0) << ", lease "
            << aStatus.value("lease", "") << ", revision " << aStatus.value("table_revision", 0) << " in force "
            << aStatus.value("in_force", "") << "\n\n";
  std::vector<std::vector<std::string>> members;
  for (auto const& member : aStatus["members"]) {
    auto const revision = member.contains("table_revision") ? member["table_revision"].dump() : "-";
    members.push_back(
      { member.value("name", ""), member.value("data_center", ""), member.value("state", ""), revision });
  }
  PrintColumns({ "FRONT", "DATA CENTRE", "STATE", "REVISION" }, members);
  std::cout << "\n";
  std::vector<std::vector<std::string>> endpoints;
  for (auto const& endpoint : aStatus["owned_endpoints"])
    endpoints.push_back({ endpoint.value("name", ""), endpoint.value("phase", ""), endpoint["limit"].dump() });
  PrintColumns({ "ENDPOINT OWNED HERE", "PHASE", "LIMIT" }, endpoints);
}

}
