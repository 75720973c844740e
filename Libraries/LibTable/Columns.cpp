#include "Columns.h"
#include <algorithm>
#include <array>
#include <charconv>

namespace Hornbeam {

static constexpr std::array kStates = { "in", "out" };
static constexpr std::array kYesNo = { "yes", "no" };
static constexpr std::array kPoolKinds = { "engine", "service" };

static constexpr std::array kPipelineColumns = {
  Column{ "stages", CellType::Text, nullptr, 0, 0, {} },
  Column{ "deadline_ms", CellType::Number, "5000", 10, 10000, {} },
  Column{ "repeatable", CellType::Choice, "yes", 0, 0, kYesNo },
};
static constexpr std::array kPoolColumns = {
  Column{ "kind", CellType::Choice, "engine", 0, 0, kPoolKinds },
  Column{ "cold_limit", CellType::Number, "1", 1, 10000, {} },
  Column{ "warm_limit", CellType::Number, "8", 1, 10000, {} },
  Column{ "service_ms", CellType::Number, "100", 1, 60000, {} },
};
static constexpr std::array kEndpointColumns = {
  Column{ "pool", CellType::Text, nullptr, 0, 0, {} },        Column{ "address", CellType::Address, nullptr, 0, 0, {} },
  Column{ "data_center", CellType::Text, nullptr, 0, 0, {} }, Column{ "weight", CellType::Number, "100", 0, 10000, {} },
  Column{ "state", CellType::Choice, "in", 0, 0, kStates },
};
static constexpr std::array kAccountColumns = {
  Column{ "weight", CellType::Number, "1", 1, 10000, {} },
  Column{ "limit", CellType::Number, "100", 0, 1000000, {} },
};
static constexpr std::array kDataCenterColumns = {
  Column{ "state", CellType::Choice, "in", 0, 0, kStates },
};

std::span<Column const>
ColumnsOf(RowKind aKind)
{
  switch (aKind) {
    case RowKind::Pipeline:
      return kPipelineColumns;
    case RowKind::Pool:
      return kPoolColumns;
    case RowKind::Endpoint:
      return kEndpointColumns;
    case RowKind::Account:
      return kAccountColumns;
    case RowKind::DataCenter:
      return kDataCenterColumns;
  }
  VerifyNotReached();
}

static std::string
AllowedChoices(Column const& aColumn)
{
  std::string allowed;
  for (auto const* const choice : aColumn.choices) {
    if (!allowed.empty())
      allowed += ", ";
    allowed += choice;
  }
  return allowed;
}

/// Returns a description of the allowed values if the value is invalid, and nullopt if it is valid.
static std::optional<std::string>
AllowedIfInvalid(Column const& aColumn, std::string const& aValue)
{
  switch (aColumn.type) {
    case CellType::Text:
      return aValue.empty() ? std::optional("a text that is not empty") : std::nullopt;
    case CellType::Choice:
      if (std::ranges::find(aColumn.choices, aValue) != aColumn.choices.end())
        return std::nullopt;
      return "one of " + AllowedChoices(aColumn);
    case CellType::Address: {
      auto const colon = aValue.rfind(':');
      bool const hasPort = colon != std::string::npos && colon > 0 && colon + 1 < aValue.size();
      return hasPort ? std::nullopt : std::optional("an address with a port, such as 10.0.0.1:8080");
    }
    case CellType::Number: {
      int number = 0;
      auto const* const end = aValue.data() + aValue.size();
      auto const [stop, error] = std::from_chars(aValue.data(), end, number);
      bool const inRange =
        error == std::errc() && stop == end && number >= aColumn.minimum && number <= aColumn.maximum;
      if (inRange)
        return std::nullopt;
      return "a whole number from " + std::to_string(aColumn.minimum) + " to " + std::to_string(aColumn.maximum);
    }
  }
  VerifyNotReached();
}

static Column const*
FindColumn(std::span<Column const> aColumns, std::string const& aName)
{
  for (auto const& column : aColumns) {
    if (aName == column.name)
      return &column;
  }
  return nullptr;
}

static std::string
NamesOf(std::span<Column const> aColumns)
{
  std::string names;
  for (auto const& column : aColumns) {
    if (!names.empty())
      names += ", ";
    names += column.name;
  }
  return names;
}

bool
CheckCells(RowKey const& aKey, Cells const& aCells, LastReason& aReason)
{
  auto const columns = ColumnsOf(aKey.kind);
  auto const fail = [&](std::string const& aDetail) {
    aReason = { ReasonCode::InvalidInput, ToString(aKey) + ": " + aDetail };
    return false;
  };
  for (auto const& cell : aCells) {
    auto const* const column = FindColumn(columns, cell.first);
    if (column == nullptr)
      return fail("unknown cell '" + cell.first + "'; allowed: " + NamesOf(columns));
    if (auto const allowed = AllowedIfInvalid(*column, cell.second))
      return fail("cell '" + cell.first + "' is '" + cell.second + "'; allowed: " + *allowed);
  }
  for (auto const& column : columns) {
    if (column.defaultValue == nullptr && !aCells.contains(column.name))
      return fail(std::string("cell '") + column.name + "' is missing");
  }
  return true;
}

std::string
CellOrDefault(RowKind aKind, Cells const& aCells, std::string const& aColumn)
{
  if (auto const cell = aCells.find(aColumn); cell != aCells.end())
    return cell->second;
  for (auto const& column : ColumnsOf(aKind)) {
    if (aColumn == column.name)
      return column.defaultValue;
  }
  VerifyNotReached();
}

}
