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

/// What one column of a row kind takes. A column without a default value must be given.
struct Column
{
  char const* name;
  CellType type;
  char const* defaultValue;
  int least;
  int most;
  std::span<char const* const> choices;
};

std::span<Column const>
ColumnsOf(RowKind aKind);

/// Checks the cells of one row by themselves, without references to other rows.
bool
CheckCells(RowKey const& aKey, Cells const& aCells, LastReason& aReason);

/// The cell of a checked row, or the column's default.
std::string
CellOrDefault(RowKind aKind, Cells const& aCells, std::string const& aColumn);

}
