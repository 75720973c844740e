#include "Edit.h"
#include <algorithm>

namespace Hornbeam {

/// Number of edit identifiers kept to recognise the retry of an edit whose response was lost.
static constexpr std::size_t kMaxRecentEdits = 64;

static bool
MatchesExpectation(TableDocument const& aDocument, RowEdit const& aEdit)
{
  if (!aEdit.expectedRevision)
    return true;
  auto const row = aDocument.rows.find(aEdit.key);
  Revision const current = row == aDocument.rows.end() ? 0 : row->second.revision;
  return current == *aEdit.expectedRevision;
}

static EditOutcome
ConflictAt(RowKey const& aKey)
{
  EditOutcome outcome;
  outcome.verdict = EditVerdict::Conflict;
  outcome.reason = { ReasonCode::Conflict, ToString(aKey) + " has changed since it was read" };
  outcome.conflictingRow = aKey;
  return outcome;
}

static bool
ApplyRow(TableDocument& aDocument, RowEdit const& aEdit, LastReason& aReason)
{
  auto const row = aDocument.rows.find(aEdit.key);
  bool const exists = row != aDocument.rows.end();
  if (aEdit.kind != RowEditKind::Replace && !exists) {
    aReason = { ReasonCode::NotFound, ToString(aEdit.key) + " does not exist" };
    return false;
  }
  if (aEdit.kind == RowEditKind::Remove) {
    aDocument.rows.erase(row);
    return true;
  }
  Cells cells = aEdit.cells;
  if (aEdit.kind == RowEditKind::Merge)
    cells.insert(row->second.cells.begin(), row->second.cells.end());
  aDocument.rows[aEdit.key] = { std::move(cells), aDocument.revision };
  return true;
}

EditOutcome
ApplyEdit(TableDocument const& aDocument, TableEdit const& aEdit)
{
  EditOutcome outcome;
  if (std::ranges::find(aDocument.recentEdits, aEdit.identifier) != aDocument.recentEdits.end()) {
    outcome.verdict = EditVerdict::AlreadyApplied;
    outcome.document = aDocument;
    return outcome;
  }
  for (auto const& edit : aEdit.rows) {
    if (!MatchesExpectation(aDocument, edit))
      return ConflictAt(edit.key);
  }
  auto document = aDocument;
  ++document.revision;
  for (auto const& edit : aEdit.rows) {
    if (!ApplyRow(document, edit, outcome.reason))
      return outcome;
  }
  document.recentEdits.push_back(aEdit.identifier);
  if (document.recentEdits.size() > kMaxRecentEdits)
    document.recentEdits.erase(document.recentEdits.begin());
  if (!CompileTable(document, outcome.reason))
    return outcome;
  outcome.verdict = EditVerdict::Applied;
  outcome.document = std::move(document);
  return outcome;
}

}
