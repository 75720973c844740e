#pragma once

#include "Table.h"

namespace Hornbeam {

enum class RowEditKind
{
  /// Replaces all cells of the row, and creates the row if it does not exist.
  Replace,
  /// Changes the given cells and keeps the others. The row must exist.
  Merge,
  Remove,
};

/// A change to one row. The expected revision is the one that the operator last read: zero if the row must not exist
/// yet, nullopt for an unconditional change.
struct RowEdit
{
  RowKey key;
  RowEditKind kind{ RowEditKind::Replace };
  Cells cells;
  std::optional<Revision> expectedRevision;
};

/// Row edits that are applied atomically.
struct TableEdit
{
  std::string identifier;
  std::vector<RowEdit> rows;
};

enum class EditVerdict
{
  Applied,
  /// The identifier is among the recent edits: this is a retry of an edit that has already been applied.
  AlreadyApplied,
  /// A row has changed since the operator read it.
  Conflict,
  Invalid,
};

struct EditOutcome
{
  EditVerdict verdict{ EditVerdict::Invalid };
  TableDocument document;
  LastReason reason;
  std::optional<RowKey> conflictingRow;
};

/// Applies an edit to a copy of the document and increments its revision.
EditOutcome
ApplyEdit(TableDocument const& aDocument, TableEdit const& aEdit);

}
