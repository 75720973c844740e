#pragma once

#include "Table.h"

namespace Hornbeam {

enum class RowEditKind
{
  /// The row has just these cells afterwards.
  Replace,
  /// These cells are changed, the others stay. The row must exist.
  Merge,
  Remove,
};

/// One change of one row. The expected revision is the one that the operator saw:
/// zero for a row that must not exist yet, empty to change whatever is there.
struct RowEdit
{
  RowKey key;
  RowEditKind kind{ RowEditKind::Replace };
  Cells cells;
  std::optional<Revision> expectedRevision;
};

/// Edits that take effect together or not at all.
struct TableEdit
{
  std::string identifier;
  std::vector<RowEdit> rows;
};

enum class EditVerdict
{
  Applied,
  /// The identifier is among the recent edits: a retry of an edit that has taken effect.
  AlreadyApplied,
  /// A row changed after the operator saw it.
  Conflict,
  Invalid,
};

struct EditOutcome
{
  EditVerdict verdict{ EditVerdict::Invalid };
  TableDocument document;
  LastReason reason;
  /// The row that conflicts.
  std::optional<RowKey> conflicting;
};

/// Applies an edit to a document without changing the original. The result's revision is one greater.
EditOutcome
ApplyEdit(TableDocument const& aDocument, TableEdit const& aEdit);

}
