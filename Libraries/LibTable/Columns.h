#pragma once

#include "Table.h"
#include <span>

namespace Hornbeam {

enum class CellType
{
  Text,
  Number,
  Choice,
  Address,
};

/// Describes the values that one column of a row kind accepts. A column without a default value is required.
struct Column
{
  char const* name;
  CellType type;
  char const* defaultValue;
  int minimum;
  int maximum;
  std::span<char const* const> choices;
};

std::span<Column const>
ColumnsOf(RowKind aKind);

/// Validates the cells of one row, without references to other rows.
bool
CheckCells(RowKey const& aKey, Cells const& aCells, LastReason& aReason);

/// Returns the cell of a validated row, or the column's default value.
std::string
CellOrDefault(RowKind aKind, Cells const& aCells, std::string const& aColumn);

}
