#include "Table.h"
#include "Columns.h"
#include <algorithm>
#include <array>

namespace Hornbeam {

struct RowKindName
{
  RowKind kind;
  char const* name;
};

static constexpr std::array kRowKindNames = {
  RowKindName{ RowKind::Pipeline, "pipeline" },      RowKindName{ RowKind::Pool, "pool" },
  RowKindName{ RowKind::Endpoint, "endpoint" },      RowKindName{ RowKind::Account, "account" },
  RowKindName{ RowKind::DataCenter, "data-center" },
};

static constexpr std::size_t kMaxNameLength = 64;

bool
IsOutOfRotation(Table const& aTable, EndpointRow const& aEndpoint)
{
  if (aEndpoint.state == OperatorState::Out)
    return true;
  auto const dataCenter = aTable.dataCenters.find(aEndpoint.dataCenter);
  return dataCenter == aTable.dataCenters.end() || dataCenter->second.state == OperatorState::Out;
}

std::string
ToString(RowKind aKind)
{
  for (auto const& entry : kRowKindNames) {
    if (entry.kind == aKind)
      return entry.name;
  }
  VerifyNotReached();
}

std::string
ToString(RowKey const& aKey)
{
  return ToString(aKey.kind) + "/" + aKey.name;
}

static bool
IsNameCharacter(char aCharacter)
{
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 || aCharacter == '-' || aCharacter == '_' ||
         aCharacter == '.';
}

std::optional<RowKey>
ParseRowKey(std::string const& aText, LastReason& aReason)
{
  auto const slash = aText.find('/');
  auto const kindName = aText.substr(0, slash);
  auto const name = slash == std::string::npos ? std::string() : aText.substr(slash + 1);
  for (auto const& entry : kRowKindNames) {
    if (kindName != entry.name)
      continue;
    bool const wellFormed =
      !name.empty() && name.size() <= kMaxNameLength && std::ranges::all_of(name, IsNameCharacter);
    if (wellFormed)
      return RowKey{ entry.kind, name };
    aReason = { ReasonCode::InvalidInput,
                "row name '" + name + "' must have 1 to 64 characters out of letters, digits, '-', '_' and '.'" };
    return std::nullopt;
  }
  aReason = { ReasonCode::InvalidInput,
              "row kind '" + kindName + "' is unknown; allowed: pipeline, pool, endpoint, account, data-center" };
  return std::nullopt;
}

static OperatorState
StateOf(std::string const& aCell)
{
  return aCell == "out" ? OperatorState::Out : OperatorState::In;
}

static std::vector<std::string>
SplitList(std::string const& aCell)
{
  std::vector<std::string> items;
  std::string item;
  for (char const character : aCell) {
    if (character == ' ')
      continue;
    if (character != ',') {
      item += character;
      continue;
    }
    items.push_back(std::move(item));
    item.clear();
  }
  items.push_back(std::move(item));
  return items;
}

/// Adds a row with validated cells to the typed view.
static void
AddRow(Table& aTable, RowKey const& aKey, Cells const& aCells)
{
  auto const& name = aKey.name;
  auto const cell = [&](char const* aColumn) { return CellOrDefault(aKey.kind, aCells, aColumn); };
  auto const number = [&](char const* aColumn) { return std::stoi(cell(aColumn)); };
  auto const milliseconds = [&](char const* aColumn) { return std::chrono::milliseconds(number(aColumn)); };
  switch (aKey.kind) {
    case RowKind::Pipeline: {
      auto const repeatability = cell("repeatable") == "no" ? Repeatability::NotRepeatable : Repeatability::Repeatable;
      aTable.pipelines[name] = { name, SplitList(cell("stages")), milliseconds("deadline_ms"), repeatability };
      return;
    }
    case RowKind::Pool: {
      auto const kind = cell("kind") == "service" ? PoolKind::Service : PoolKind::Engine;
      aTable.pools[name] = { name, kind, number("cold_limit"), number("warm_limit"), milliseconds("service_ms") };
      return;
    }
    case RowKind::Endpoint:
      aTable.endpoints[name] = {
        name, cell("pool"), cell("address"), cell("data_center"), number("weight"), StateOf(cell("state"))
      };
      return;
    case RowKind::Account:
      aTable.accounts[name] = { name, number("weight"), number("limit") };
      return;
    case RowKind::DataCenter:
      aTable.dataCenters[name] = { name, StateOf(cell("state")) };
      return;
  }
}

static bool
FailMissingReference(std::string const& aRow,
                     std::string const& aColumn,
                     std::string const& aTarget,
                     LastReason& aReason)
{
  aReason = { ReasonCode::InvalidInput, aRow + ": cell '" + aColumn + "' names " + aTarget + ", which is no row" };
  return false;
}

static bool
CheckReferences(Table const& aTable, LastReason& aReason)
{
  for (auto const& [name, pipeline] : aTable.pipelines) {
    for (auto const& stage : pipeline.stages) {
      if (!aTable.pools.contains(stage))
        return FailMissingReference("pipeline/" + name, "stages", "pool/" + stage, aReason);
    }
    if (pipeline.repeatability == Repeatability::NotRepeatable && pipeline.stages.size() != 1) {
      aReason = { ReasonCode::InvalidInput, "pipeline/" + name + ": a non-repeatable pipeline has exactly one stage" };
      return false;
    }
  }
  for (auto const& [name, pool] : aTable.pools) {
    if (pool.coldLimit > pool.warmLimit) {
      aReason = { ReasonCode::InvalidInput, "pool/" + name + ": cold_limit must not exceed warm_limit" };
      return false;
    }
  }
  for (auto const& [name, endpoint] : aTable.endpoints) {
    if (!aTable.pools.contains(endpoint.pool))
      return FailMissingReference("endpoint/" + name, "pool", "pool/" + endpoint.pool, aReason);
    if (!aTable.dataCenters.contains(endpoint.dataCenter))
      return FailMissingReference("endpoint/" + name, "data_center", "data-center/" + endpoint.dataCenter, aReason);
  }
  return true;
}

std::optional<Table>
CompileTable(TableDocument const& aDocument, LastReason& aReason)
{
  Table table;
  table.revision = aDocument.revision;
  for (auto const& [key, row] : aDocument.rows) {
    if (!CheckCells(key, row.cells, aReason))
      return std::nullopt;
    AddRow(table, key, row.cells);
  }
  if (!CheckReferences(table, aReason))
    return std::nullopt;
  return table;
}

}
